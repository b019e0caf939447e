package dev.dunefront.standin;

import dev.dunefront.net.Caller.Reply;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A fake cloud: a catalog of two machine types, idempotent rental by request name, deletion, and a
 * paged list of machines.
 */
public final class CloudStandIn {
  /** CPUs of a machine of the type {@code small}. */
  public static final double SMALL_CPUS = 4;

  /** CPUs of a machine of the type {@code large}. */
  public static final double LARGE_CPUS = 16;

  /** Maximum number of machines in a page of the list. */
  private static final int LONGEST_PAGE = 500;

  /** Default boot time of both types, in seconds. */
  private static final double QUICK_BOOT_S = 5;

  private final List<String> zones;
  private final double bootS;
  private final TreeMap<String, Doc> machines = new TreeMap<>();
  private final Map<String, List<String>> hires = new HashMap<>();
  private final Set<String> deleted = new HashSet<>();
  private final Set<String> hidden = new HashSet<>();
  private boolean lagging;
  private int capacity;
  private int rented;

  /** A cloud with two zones, {@code a} and {@code b}. */
  public CloudStandIn() {
    this(List.of("a", "b"), QUICK_BOOT_S);
  }

  /** A cloud whose zones all offer both types; the catalog gives them this boot time. */
  public CloudStandIn(List<String> zones, double bootS) {
    this.zones = List.copyOf(zones);
    this.bootS = bootS;
  }

  /** Sets how many machines can be rented from now on. */
  public void capacity(int machinesLeft) {
    capacity = machinesLeft;
  }

  /** From now on a new machine is missing from the list until {@link #show} is called for it. */
  public void lag() {
    lagging = true;
  }

  /** Makes a hidden machine appear in the list. */
  public void show(String host) {
    hidden.remove(host);
  }

  /** Marks a rented machine as running. */
  public void up(String host) {
    Doc m = machines.get(host);
    if (m != null) {
      m.put("status", "running");
    }
  }

  /** The zone of a machine, or null if it does not exist. */
  public String zone(String host) throws BadMessage {
    Doc m = machines.get(host);
    return m == null ? null : m.text("site");
  }

  /** The type of a machine, or null if it does not exist. */
  public String type(String host) throws BadMessage {
    Doc m = machines.get(host);
    return m == null ? null : m.text("flavor");
  }

  /** Adds a machine in the state running. */
  public void add(String host, String type, String zone) {
    machines.put(host, machine(host, type, zone, false, "running"));
  }

  /** Reclaims a machine without notice and removes it from the list. */
  public void take(String host) {
    machines.remove(host);
  }

  /** Marks a machine as failed, as the cloud does for one that stopped by itself. */
  public void fail(String host) {
    Doc m = machines.get(host);
    if (m != null) {
      m.put("status", "failed");
    }
  }

  public boolean deleted(String host) {
    return deleted.contains(host);
  }

  /** The machines rented so far, by request name. */
  public Map<String, List<String>> hires() {
    return hires;
  }

  public Reply handle(String method, String path, byte[] body) {
    try {
      if (path.equals("/catalog")) {
        return ok(
            Doc.of()
                .put(
                    "flavors",
                    List.of(type("small", SMALL_CPUS, 1), type("large", LARGE_CPUS, 4.4))));
      }
      if (path.startsWith("/machines?")) {
        return ok(list(path));
      }
      if (path.equals("/machines")) {
        return hire(Doc.decode(body));
      }
      if (path.equals("/machines/delete")) {
        for (String host : Doc.decode(body).texts("hosts")) {
          machines.remove(host);
          deleted.add(host);
        }
        return ok(Doc.of());
      }
      return new Reply(404, new byte[0], 0);
    } catch (BadMessage e) {
      return new Reply(400, new byte[0], 0);
    }
  }

  private Doc list(String path) {
    String from = "";
    int page = LONGEST_PAGE;
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith("from=")) {
        from = part.substring("from=".length());
      } else if (part.startsWith("page=")) {
        page = Math.min(page, Integer.parseInt(part.substring("page=".length())));
      }
    }
    List<Doc> listed = new ArrayList<>();
    boolean more = false;
    for (var e : machines.tailMap(from, false).entrySet()) {
      if (listed.size() == page) {
        more = true;
        break;
      }
      if (!hidden.contains(e.getKey())) {
        listed.add(e.getValue());
      }
    }
    return Doc.of().put("hosts", listed).put("more", more);
  }

  private Reply hire(Doc d) throws BadMessage {
    String name = d.text("hire");
    if (!hires.containsKey(name)) {
      int n = (int) Math.min(capacity, d.count("how_many"));
      if (n == 0) {
        return new Reply(503, Doc.of().put("error", "no capacity").encode(), 0);
      }
      List<String> hosts = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        String host = "hired-" + ++rented;
        hosts.add(host);
        if (lagging) {
          hidden.add(host);
        }
        machines.put(
            host, machine(host, d.text("flavor"), d.text("site"), d.flag("loaners"), "booting"));
      }
      capacity -= n;
      hires.put(name, hosts);
    }
    return ok(Doc.of().put("hosts", hires.get(name)));
  }

  private static Doc machine(String host, String type, String zone, boolean spot, String status) {
    return Doc.of()
        .put("id", host)
        .put("flavor", type)
        .put("site", zone)
        .put("loaners", spot)
        .put("status", status)
        .put("held_s", 1.0);
  }

  private Doc type(String name, double cpus, double price) {
    return Doc.of()
        .put("label", name)
        .put("vcpus", cpus)
        .put("cards", 0.0)
        .put("ram_gb", cpus * 4)
        .put("cache_gb", 50.0)
        .put("pull_gb_per_s", 1.0)
        .put("rate", price)
        .put("spot_price", price / 3)
        .put("boot_s", bootS)
        .put("sites", zones);
  }

  private static Reply ok(Doc doc) {
    return new Reply(200, doc.encode(), 0);
  }
}
