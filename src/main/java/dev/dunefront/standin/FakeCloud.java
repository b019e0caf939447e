package dev.dunefront.standin;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The cloud: a catalog of two types, hires by unique name, deletions, a list. */
public final class FakeCloud {
  /** CPUs of the small type. */
  public static final double SMALL_CPUS = 4;

  /** CPUs of the large type. */
  public static final double LARGE_CPUS = 16;

  /** Machines in one page of the list at the most. */
  private static final int MAX_PAGE_SIZE = 500;

  /** Boot time of both types unless said otherwise, in seconds. */
  private static final double DEFAULT_BOOT_S = 5;

  private final List<String> zones;
  private final double bootS;
  private final TreeMap<String, Document> machines = new TreeMap<>();
  private final Map<String, List<String>> hostsByRequest = new HashMap<>();
  private final Set<String> deleted = new HashSet<>();
  private final Set<String> unlisted = new HashSet<>();
  private boolean hidingNewMachines;
  private int capacity;
  private int rentedCount;

  /** A cloud with two zones, {@code a} and {@code b}. */
  public FakeCloud() {
    this(List.of("a", "b"), DEFAULT_BOOT_S);
  }

  /** A cloud with these zones, each of which has both types, which boot in so many seconds. */
  public FakeCloud(List<String> zones, double bootS) {
    this.zones = List.copyOf(zones);
    this.bootS = bootS;
  }

  /** How many machines may be rented from now on. */
  public void capacity(int machinesLeft) {
    capacity = machinesLeft;
  }

  /** From now on new machines are not listed before they are shown. */
  public void hideNewMachines() {
    hidingNewMachines = true;
  }

  /** The list shows a machine at last. */
  public void listHidden(String host) {
    unlisted.remove(host);
  }

  /** A rented machine is up. */
  public void markRunning(String host) {
    Document m = machines.get(host);
    if (m != null) {
      m.put("status", "running");
    }
  }

  /** The zone of a machine, or null if there is none of the name. */
  public String zone(String host) throws MalformedMessageException {
    Document m = machines.get(host);
    return m == null ? null : m.text("site");
  }

  /** The type of a machine, or null if there is none of the name. */
  public String type(String host) throws MalformedMessageException {
    Document m = machines.get(host);
    return m == null ? null : m.text("flavor");
  }

  /** Adds a machine that is up already. */
  public void addRunning(String host, String type, String zone) {
    machines.put(host, machine(host, type, zone, false, "running"));
  }

  /** Takes a machine back without notice: from now on it is not listed. */
  public void reclaim(String host) {
    machines.remove(host);
  }

  /** The cloud has noticed that a machine has stopped by itself. */
  public void markFailed(String host) {
    Document m = machines.get(host);
    if (m != null) {
      m.put("status", "failed");
    }
  }

  public boolean deleted(String host) {
    return deleted.contains(host);
  }

  /** The machines rented so far under each request name. */
  public Map<String, List<String>> hostsByRequest() {
    return hostsByRequest;
  }

  public Response handle(String method, String path, byte[] body) {
    try {
      if (path.equals("/catalog")) {
        return ok(
            Document.create()
                .put(
                    "flavors",
                    List.of(type("small", SMALL_CPUS, 1), type("large", LARGE_CPUS, 4.4))));
      }
      if (path.startsWith("/machines?")) {
        return ok(listMachines(path));
      }
      if (path.equals("/machines")) {
        return rent(Document.decode(body));
      }
      if (path.equals("/machines/delete")) {
        for (String host : Document.decode(body).texts("hosts")) {
          machines.remove(host);
          deleted.add(host);
        }
        return ok(Document.create());
      }
      return new Response(404, new byte[0], 0);
    } catch (MalformedMessageException e) {
      return new Response(400, new byte[0], 0);
    }
  }

  private Document listMachines(String path) {
    String from = "";
    int page = MAX_PAGE_SIZE;
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith("from=")) {
        from = part.substring("from=".length());
      } else if (part.startsWith("page=")) {
        page = Math.min(page, Integer.parseInt(part.substring("page=".length())));
      }
    }
    List<Document> listed = new ArrayList<>();
    boolean more = false;
    for (var e : machines.tailMap(from, false).entrySet()) {
      if (listed.size() == page) {
        more = true;
        break;
      }
      if (!unlisted.contains(e.getKey())) {
        listed.add(e.getValue());
      }
    }
    return Document.create().put("hosts", listed).put("more", more);
  }

  private Response rent(Document d) throws MalformedMessageException {
    String name = d.text("hire");
    if (!hostsByRequest.containsKey(name)) {
      int n = (int) Math.min(capacity, d.count("how_many"));
      if (n == 0) {
        return new Response(503, Document.create().put("error", "no capacity").encode(), 0);
      }
      List<String> hosts = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        String host = "hired-" + ++rentedCount;
        hosts.add(host);
        if (hidingNewMachines) {
          unlisted.add(host);
        }
        machines.put(
            host, machine(host, d.text("flavor"), d.text("site"), d.flag("loaners"), "booting"));
      }
      capacity -= n;
      hostsByRequest.put(name, hosts);
    }
    return ok(Document.create().put("hosts", hostsByRequest.get(name)));
  }

  private static Document machine(
      String host, String type, String zone, boolean spot, String status) {
    return Document.create()
        .put("id", host)
        .put("flavor", type)
        .put("site", zone)
        .put("loaners", spot)
        .put("status", status)
        .put("held_s", 1.0);
  }

  private Document type(String name, double cpus, double price) {
    return Document.create()
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

  private static Response ok(Document doc) {
    return new Response(200, doc.encode(), 0);
  }
}
