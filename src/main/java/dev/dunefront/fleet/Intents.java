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
 * What the holder of the rent duty records for the next holder: the rent requests and deletions
 * that it is about to send or that have no response yet, the machines rented so recently that the
 * cloud's lagging list may not show them, and since when machines are silent.
 */
final class Intents {
  /** Since-times are rounded down to this step, so that many hosts share one group. */
  private static final long STEP_MS = 5_000;

  /** Encoding overhead of a host name, as the state service counts the size of a value. */
  private static final int PER_NAME = 3;

  /** Upper bound of the encoded size of a group without its host names. */
  private static final int PER_GROUP = 120;

  /** Machines rented by one request; {@code atMs} is a time of day. */
  record Came(Kind kind, long atMs, List<String> hosts) {}

  /** Rent requests sent or about to be sent, by name. */
  final Map<String, Hire> hires = new LinkedHashMap<>();

  /** Deletions sent or about to be sent: the reason by host. */
  final Map<String, ReturnReason> deletions = new LinkedHashMap<>();

  /** Rent requests with a response, oldest first. */
  final List<Came> came = new ArrayList<>();

  /** Time of day since when no controller receives a machine's reports, by host. */
  final Map<String, Long> silent = new TreeMap<>();

  /** Time of day since when a machine with tasks neither reports nor is listed, by host. */
  final Map<String, Long> unlisted = new TreeMap<>();

  /**
   * Encodes the intents within a size limit. Open requests and deletions are always kept; the
   * entries that are easiest to determine again are left out first.
   */
  Doc write(int maxBytes) {
    int left = maxBytes;
    List<Doc> rentDocs = new ArrayList<>();
    for (Hire h : hires.values()) {
      rentDocs.add(kind(h.kind()).put("name", h.name()).put("n", h.count()));
      left -= PER_GROUP;
    }
    Map<String, List<String>> reasons = new LinkedHashMap<>();
    for (var e : deletions.entrySet()) {
      reasons.computeIfAbsent(e.getValue().name(), r -> new ArrayList<>()).add(e.getKey());
      left -= e.getKey().length() + PER_NAME;
    }
    List<Doc> deletionDocs = new ArrayList<>();
    reasons.forEach((r, hosts) -> deletionDocs.add(Doc.of().put("why", r).put("hosts", hosts)));
    left -= ReturnReason.values().length * PER_GROUP;
    List<Doc> completedDocs = new ArrayList<>();
    for (int i = came.size() - 1; i >= 0; i--) {
      Came c = came.get(i);
      left -= PER_GROUP;
      for (String host : c.hosts) {
        left -= host.length() + PER_NAME;
      }
      if (left < 0) {
        break;
      }
      completedDocs.add(0, kind(c.kind).put("at", c.atMs).put("hosts", c.hosts));
    }
    Doc value =
        Doc.of().put("hires", rentDocs).put("deletions", deletionDocs).put("came", completedDocs);
    left = since(value, "unlisted", unlisted, left);
    since(value, "silent", silent, left);
    return value;
  }

  private static int since(Doc value, String name, Map<String, Long> times, int maxBytes) {
    int left = maxBytes;
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

  /** Decodes recorded intents; a null value gives empty ones. */
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
