package review2;

/** One job of 100,000 tasks that take next to nothing of their machine. */
final class ManyTinyTasks {
  private static final int PIECES = 100_000;
  private static final int MACHINES = 6;
  private static final double SILENT_S = 75;

  private ManyTinyTasks() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, ManyTinyTasks::play);
  }

  private static int play(Site site, boolean trouble) throws Exception {
    site.teams.add("name = \"trapezia\"\ncpus = 64.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0");
    site.types.put("mikro", new Site.Type("mikro", 4, 32));
    site.types.put("megalo", new Site.Type("megalo", 64, 256));
    site.standIns();
    for (int i = 0; i < MACHINES; i++) {
      site.addMachine("megalo", site.zones.get(i % 2));
    }
    for (int i = 0; i < site.count; i++) {
      site.startController(i);
    }
    if (!site.awaitUp(15)) {
      site.log("the controllers did not come up");
      return 2;
    }
    Thread.sleep(1500);
    double size = trouble ? 0.0005 : 1;
    Site.Job j = site.newJob("wk-000001", PIECES, size, size, 10, d -> {});
    if (!site.submit(j, 0)) {
      return 2;
    }
    double[] lastAnswer = new double[site.count];
    java.util.Arrays.fill(lastAnswer, site.now());
    double until = site.now() + 100;
    while (site.now() < until) {
      Thread.sleep(1000);
      StringBuilder line = new StringBuilder("GET /up:");
      for (int i = 0; i < site.count; i++) {
        if (!site.alive(i)) {
          site.broken.add("crash: " + site.nodeName(i) + " has ended by itself");
          return 1;
        }
        int status = site.probe(i);
        line.append(' ').append(status == 0 ? "none" : status);
        if (status != 0) {
          lastAnswer[i] = site.now();
        }
      }
      site.log(
          line + ", " + site.running() + " tasks run, " + j.done.size() + " are done");
    }
    for (int i = 0; i < site.count; i++) {
      double silent = site.now() - lastAnswer[i];
      if (silent > 2) {
        site.log(site.nodeName(i) + " lives and has not answered for " + Math.round(silent) + " s");
      }
      if (silent > SILENT_S) {
        site.broken.add("hang: " + site.nodeName(i));
      }
      for (String l : site.controllerLog(i)) {
        if (l.contains("OutOfMemory")) {
          site.log("log of " + site.nodeName(i) + ": " + l);
        }
      }
    }
    return site.broken.isEmpty() ? 0 : 1;
  }
}
