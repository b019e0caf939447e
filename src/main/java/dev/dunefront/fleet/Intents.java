package dev.dunefront.fleet;

import dev.dunefront.fleet.Cloud.Hire;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
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
  private static final long STEP_MS = 5_000;

  /** What a host's name takes besides its characters, as the state service counts. */
  private static final int PER_NAME = 3;

  private static final int PER_GROUP = 120;

  /** Machines that came by a hire at a time of day. */
  record Came(Kind kind, long atMs, List<String> hosts) {}

  /** Asked for, or about to be; by name. */
  final Map<String, Hire> hires = new LinkedHashMap<>();

  /** Deletions asked for, or about to be: the reason by host. */
  final Map<String, ReturnReason> deletions = new LinkedHashMap<>();

  /** Answered hires, oldest first. */
  final List<Came> came = new ArrayList<>();

  /** Time of day since when nobody hears a machine. */
  final Map<String, Long> silent = new TreeMap<>();

  /** Time of day since when machines with tasks are neither heard nor listed. */
  final Map<String, Long> unlisted = new TreeMap<>();

  /** The value to be kept, within so many bytes: what is most easily found out anew goes first. */
  Doc write(int bytes) {
    int left = bytes;
    List<Doc> asked = new ArrayList<>();
    for (Hire h : hires.values()) {
      asked.add(kind(h.kind()).put("name", h.name()).put("n", h.count()));
      left -= PER_GROUP;
    }
    Map<String, List<String>> reasons = new LinkedHashMap<>();
    for (var e : deletions.entrySet()) {
      reasons.computeIfAbsent(e.getValue().name(), r -> new ArrayList<>()).add(e.getKey());
      left -= e.getKey().length() + PER_NAME;
    }
    List<Doc> toReturn = new ArrayList<>();
    reasons.forEach((r, hosts) -> toReturn.add(Doc.of().put("why", r).put("hosts", hosts)));
    left -= ReturnReason.values().length * PER_GROUP;
    List<Doc> arrived = new ArrayList<>();
    for (int i = came.size() - 1; i >= 0; i--) {
      Came c = came.get(i);
      left -= PER_GROUP;
      for (String host : c.hosts) {
        left -= host.length() + PER_NAME;
      }
      if (left < 0) {
        break;
      }
      arrived.add(0, kind(c.kind).put("at", c.atMs).put("hosts", c.hosts));
    }
    Doc value = Doc.of().put("hires", asked).put("deletions", toReturn).put("came", arrived);
    left = since(value, "unlisted", unlisted, left);
    since(value, "silent", silent, left);
    return value;
  }

  private static int since(Doc value, String name, Map<String, Long> times, int bytes) {
    int left = bytes;
    TreeMap<Long, List<String>> groups = new TreeMap<>();
    for (var e : times.entrySet()) {
      groups
          .computeIfAbsent(e.getValue() / STEP_MS * STEP_MS, t -> new ArrayList<>())
          .add(e.getKey());
    }
    List<Doc> all = new ArrayList<>();
    for (var g : groups.entrySet()) {
      left -= PER_GROUP;
      for (String host : g.getValue()) {
        left -= host.length() + PER_NAME;
      }
      if (left < 0) {
        break;
      }
      all.add(Doc.of().put("at", g.getKey()).put("hosts", g.getValue()));
    }
    value.put(name, all);
    return left;
  }

  private static Doc kind(Kind k) {
    return Doc.of().put("type", k.type()).put("zone", k.zone()).put("spot", k.spot());
  }

  private static Kind kind(Doc d) throws BadMessage {
    return new Kind(d.text("type"), d.text("zone"), d.flag("spot"));
  }

  /** Reads what was left; null, which is nothing, is nothing. */
  static Intents read(Doc value) throws BadMessage {
    Intents i = new Intents();
    if (value == null) {
      return i;
    }
    for (Doc d : value.docs("hires")) {
      i.hires.put(d.text("name"), new Hire(d.text("name"), kind(d), (int) d.count("n")));
    }
    for (Doc d : value.docs("deletions")) {
      ReturnReason why = ReturnReason.of(d.text("why"));
      d.texts("hosts").forEach(host -> i.deletions.put(host, why));
    }
    for (Doc d : value.docs("came")) {
      i.came.add(new Came(kind(d), d.count("at"), d.texts("hosts")));
    }
    readSince(value, "silent", i.silent);
    readSince(value, "unlisted", i.unlisted);
    return i;
  }

  private static void readSince(Doc value, String name, Map<String, Long> into) throws BadMessage {
    for (Doc d : value.docs(name)) {
      long at = d.count("at");
      d.texts("hosts").forEach(host -> into.put(host, at));
    }
  }
}
