package review2;

/** A report of a machine's former boot arrives at a new holder after the boot that followed. */
final class HeldBackReport {
  private static final double HELD_S = 14;

  private HeldBackReport() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, HeldBackReport::play);
  }

  private static int play(Site site, boolean trouble) throws Exception {
    site.leaseS = 14;
    site.cancelS = 34;
    site.rps = 250;
    site.writeRps = 40;
    site.valueKb = 16;
    site.txnOps = 24;
    site.cloudRps = 1.5;
    site.listLagS = 10;
    site.zones = java.util.List.of("schwechat", "salzach");
    site.teams.add("name = \"trapezia\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0");
    site.types.put("klein-acht", new Site.Type("klein-acht", 8, 16));
    site.standIns();
    Worker first = site.addMachine("klein-acht", "salzach");
    while (first.session() < 2) {
      Thread.sleep(100);
    }
    for (int i = 0; i < site.count; i++) {
      site.startController(i);
    }
    if (!site.awaitUp(15)) {
      site.log("the controllers did not come up");
      return 2;
    }
    int holder = -1;
    for (double until = site.now() + 10; holder < 0 && site.now() < until; ) {
      Thread.sleep(300);
      for (int i = 0; i < site.count; i++) {
        holder = site.metric(i, "dunefront_machines_held") > 0 ? i : holder;
      }
    }
    if (holder < 0) {
      site.log("no controller holds " + first.host);
      return 2;
    }
    site.log(site.nodeName(holder) + " holds " + first.host);
    Thread.sleep(5000);
    if (trouble) {
      site.run(() -> first.holdReportAndRestartS = HELD_S);
      site.signal(holder, "STOP");
      for (double until = site.now() + 40; first.boots() < 2; ) {
        if (site.now() > until) {
          site.log(first.host + " was not taken over");
          return 2;
        }
        Thread.sleep(50);
      }
    }
    Thread.sleep(4000);
    int alive = (holder + 1) % site.count;
    Site.Job j =
        site.newJob(
            "wk-000007", 1, 4, 4, 40, d -> d.put("size_gb", 0.0).put("batchclass", "abholliste"));
    if (!site.submit(j, alive)) {
      return 2;
    }
    for (double until = site.now() + 8; site.call(() -> j.starts) == 0 && site.now() < until; ) {
      Thread.sleep(50);
    }
    if (site.call(() -> j.starts) == 0) {
      site.log("the task did not start before the report arrives");
      return 2;
    }
    for (int i = 0; i < 6; i++) {
      site.addMachine("klein-acht", "schwechat");
    }
    Thread.sleep(22_000);
    if (trouble) {
      site.signal(holder, "CONT");
    }
    return site.broken.isEmpty() ? 0 : 1;
  }
}
