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
 * What the holder of the rent duty records for the next holder: the rent requests and deletions
 * that it is about to send or that have no response yet, the machines rented so recently that the
 * cloud's lagging list may not show them, and since when machines are silent.
 */
final class Intents {
  /** Since-times are rounded down to this step, so that many hosts share one group. */
  private static final long TIME_STEP_MS = 5_000;

  /** Encoding overhead of a host name, as the state service counts the size of a value. */
  private static final int BYTES_PER_NAME = 3;

  /** Upper bound of the encoded size of a group without its host names. */
  private static final int BYTES_PER_GROUP = 120;

  /** Machines rented by one request; {@code rentedAtMs} is a time of day. */
  record CompletedRent(MachineKind kind, long rentedAtMs, List<String> hosts) {}

  /** Rent requests sent or about to be sent, by name. */
  final Map<String, RentRequest> rentRequests = new LinkedHashMap<>();

  /** Deletions sent or about to be sent: the reason by host. */
  final Map<String, ReturnReason> deletions = new LinkedHashMap<>();

  /** Rent requests with a response, oldest first. */
  final List<CompletedRent> completedRents = new ArrayList<>();

  /** Time of day since when no controller receives a machine's reports, by host. */
  final Map<String, Long> silentSinceMs = new TreeMap<>();

  /** Time of day since when a machine with tasks neither reports nor is listed, by host. */
  final Map<String, Long> unlistedSinceMs = new TreeMap<>();

  /**
   * Encodes the intents within a size limit. Open requests and deletions are always kept; the
   * entries that are easiest to determine again are left out first.
   */
  Document write(int maxBytes) {
    int left = maxBytes;
    List<Document> rentDocs = new ArrayList<>();
    for (RentRequest request : rentRequests.values()) {
      rentDocs.add(kind(request.kind()).put("name", request.name()).put("n", request.count()));
      left -= BYTES_PER_GROUP;
    }
    Map<String, List<String>> reasons = new LinkedHashMap<>();
    for (var e : deletions.entrySet()) {
      reasons.computeIfAbsent(e.getValue().name(), r -> new ArrayList<>()).add(e.getKey());
      left -= e.getKey().length() + BYTES_PER_NAME;
    }
    List<Document> deletionDocs = new ArrayList<>();
    reasons.forEach(
        (r, hosts) -> deletionDocs.add(Document.create().put("why", r).put("hosts", hosts)));
    left -= ReturnReason.values().length * BYTES_PER_GROUP;
    List<Document> completedDocs = new ArrayList<>();
    for (int i = completedRents.size() - 1; i >= 0; i--) {
      CompletedRent c = completedRents.get(i);
      left -= BYTES_PER_GROUP;
      for (String host : c.hosts) {
        left -= host.length() + BYTES_PER_NAME;
      }
      if (left < 0) {
        break;
      }
      completedDocs.add(0, kind(c.kind).put("at", c.rentedAtMs).put("hosts", c.hosts));
    }
    Document value =
        Document.create()
            .put("hires", rentDocs)
            .put("deletions", deletionDocs)
            .put("came", completedDocs);
    left = writeSinceTimes(value, "unlisted", unlistedSinceMs, left);
    writeSinceTimes(value, "silent", silentSinceMs, left);
    return value;
  }

  private static int writeSinceTimes(
      Document value, String name, Map<String, Long> times, int maxBytes) {
    int left = maxBytes;
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

  /** Decodes recorded intents; a null value gives empty ones. */
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
