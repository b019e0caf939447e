package dev.dunefront.fleet;

import dev.dunefront.fleet.CloudClient.RentRequest;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What whoever rents leaves on record for its successor: what it is about to ask the cloud for and
 * has no answer to, what has come of hires that the lagging list may not show yet, and since when
 * machines are silent.
 */
final class Intents {
  /** Times of silence are written in steps of so many milliseconds, so that few of them differ. */
  private static final long TIME_STEP_MS = 5_000;

  /** What a host's name takes besides its characters, as the state service counts. */
  private static final int BYTES_PER_NAME = 3;

  private static final int BYTES_PER_GROUP = 120;

  /** Machines that came by a hire at a time of day. */
  record CompletedRent(MachineKind kind, long rentedAtMs, List<String> hosts) {}

  /** Asked for, or about to be; by name. */
  final Map<String, RentRequest> rentRequests = new LinkedHashMap<>();

  /** Deletions asked for, or about to be: the reason by host. */
  final Map<String, ReturnReason> deletions = new LinkedHashMap<>();

  /** Answered hires, oldest first. */
  final List<CompletedRent> completedRents = new ArrayList<>();

  /** Time of day since when nobody hears a machine. */
  final Map<String, Long> silentSinceMs = new TreeMap<>();

  /** Time of day since when machines with tasks are neither heard nor listed. */
  final Map<String, Long> unlistedSinceMs = new TreeMap<>();

  /** The value to be kept, within so many bytes: what is most easily found out anew goes first. */
  Document write(int bytes) {
    int left = bytes;
    List<Document> asked = new ArrayList<>();
    for (RentRequest h : rentRequests.values()) {
      asked.add(kind(h.kind()).put("name", h.name()).put("n", h.count()));
      left -= BYTES_PER_GROUP;
    }
    Map<String, List<String>> reasons = new LinkedHashMap<>();
    for (var e : deletions.entrySet()) {
      reasons.computeIfAbsent(e.getValue().name(), r -> new ArrayList<>()).add(e.getKey());
      left -= e.getKey().length() + BYTES_PER_NAME;
    }
    List<Document> toReturn = new ArrayList<>();
    reasons.forEach(
        (r, hosts) -> toReturn.add(Document.create().put("why", r).put("hosts", hosts)));
    left -= ReturnReason.values().length * BYTES_PER_GROUP;
    List<Document> arrived = new ArrayList<>();
    for (int i = completedRents.size() - 1; i >= 0; i--) {
      CompletedRent c = completedRents.get(i);
      left -= BYTES_PER_GROUP;
      for (String host : c.hosts) {
        left -= host.length() + BYTES_PER_NAME;
      }
      if (left < 0) {
        break;
      }
      arrived.add(0, kind(c.kind).put("at", c.rentedAtMs).put("hosts", c.hosts));
    }
    Document value =
        Document.create().put("hires", asked).put("deletions", toReturn).put("came", arrived);
    left = writeSinceTimes(value, "unlisted", unlistedSinceMs, left);
    writeSinceTimes(value, "silent", silentSinceMs, left);
    return value;
  }

  private static int writeSinceTimes(
      Document value, String name, Map<String, Long> times, int bytes) {
    int left = bytes;
    TreeMap<Long, List<String>> groups = new TreeMap<>();
    for (var e : times.entrySet()) {
      groups
          .computeIfAbsent(e.getValue() / TIME_STEP_MS * TIME_STEP_MS, t -> new ArrayList<>())
          .add(e.getKey());
    }
    List<Document> all = new ArrayList<>();
    for (var g : groups.entrySet()) {
      left -= BYTES_PER_GROUP;
      for (String host : g.getValue()) {
        left -= host.length() + BYTES_PER_NAME;
      }
      if (left < 0) {
        break;
      }
      all.add(Document.create().put("at", g.getKey()).put("hosts", g.getValue()));
    }
    value.put(name, all);
    return left;
  }

  private static Document kind(MachineKind k) {
    return Document.create().put("type", k.type()).put("zone", k.zone()).put("spot", k.spot());
  }

  private static MachineKind kind(Document d) throws MalformedMessageException {
    return new MachineKind(d.text("type"), d.text("zone"), d.flag("spot"));
  }

  /** Reads what was left; null, which is nothing, is nothing. */
  static Intents read(Document value) throws MalformedMessageException {
    Intents i = new Intents();
    if (value == null) {
      return i;
    }
    for (Document d : value.documents("hires")) {
      i.rentRequests.put(
          d.text("name"), new RentRequest(d.text("name"), kind(d), (int) d.count("n")));
    }
    for (Document d : value.documents("deletions")) {
      ReturnReason why = ReturnReason.of(d.text("why"));
      d.texts("hosts").forEach(host -> i.deletions.put(host, why));
    }
    for (Document d : value.documents("came")) {
      i.completedRents.add(new CompletedRent(kind(d), d.count("at"), d.texts("hosts")));
    }
    readSinceTimes(value, "silent", i.silentSinceMs);
    readSinceTimes(value, "unlisted", i.unlistedSinceMs);
    return i;
  }

  private static void readSinceTimes(Document value, String name, Map<String, Long> into)
      throws MalformedMessageException {
    for (Document d : value.documents(name)) {
      long at = d.count("at");
      d.texts("hosts").forEach(host -> into.put(host, at));
    }
  }
}
