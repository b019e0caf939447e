package review2;

import java.util.Locale;

/** So many small tasks are put on one machine that its worker's report exceeds the limit. */
final class FullReport {
  private static final int SMALL_TASKS = 2000;
  private static final int FEWER_TASKS = 640;
  private static final double SMALL_RUN_S = 25;
  private static final double OTHER_RUN_S = 30;

  private FullReport() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, FullReport::play);
  }

  private static int play(Site site, boolean trouble) throws Exception {
    site.teams.add("name = \"trapezia\"\ncpus = 64.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0");
    site.teams.add("name = \"asfaleia\"\ncpus = 64.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0");
    site.types.put("mikro", new Site.Type("mikro", 4, 32));
    site.types.put("megalo", new Site.Type("megalo", 64, 256));
    site.standIns();
    Worker large = site.addMachine("megalo", site.zones.get(0));
    for (int i = 0; i < site.count; i++) {
      site.startController(i);
    }
    if (!site.awaitUp(15)) {
      site.log("the controllers did not come up");
      return 2;
    }
    Thread.sleep(1500);
    Site.Job other =
        site.newJob("wk-000001", 4, 2, 2, OTHER_RUN_S, d -> d.put("owner", "asfaleia"));
    if (!site.submit(other, 1)) {
      return 2;
    }
    Thread.sleep(3000);
    int pieces = trouble ? SMALL_TASKS : FEWER_TASKS;
    Site.Job small = site.newJob("wk-000002", pieces, 0.03, 0.1, SMALL_RUN_S, d -> {});
    if (!site.submit(small, 0)) {
      return 2;
    }
    double until = site.now() + 85;
    while (site.now() < until && (Double.isNaN(other.doneAt) || Double.isNaN(small.doneAt))) {
      Thread.sleep(2000);
      for (Site.Job j : new Site.Job[] {other, small}) {
        if (Double.isNaN(j.doneAt)) {
          site.poll(j, j.polls % site.count);
        }
      }
      site.log(
          String.format(
              Locale.ROOT,
              "%s is %s, %d of %d tasks done after %d starts; %s is %s, %d of %d tasks done after"
                  + " %d starts; largest report %d bytes as JSON, session %d",
              other.id,
              other.lastStatus,
              other.done.size(),
              other.pieces,
              other.starts,
              small.id,
              small.lastStatus,
              small.done.size(),
              small.pieces,
              small.starts,
              large.largestReport,
              large.session()));
    }
    for (int i = 0; i < site.count; i++) {
      if (!site.alive(i)) {
        site.broken.add("crash: " + site.nodeName(i));
      }
    }
    if (large.session() > 1) {
      site.broken.add(
          "lost: the lease of the machine ended "
              + (large.session() - 1)
              + " times, with all tasks on it; no message was lost and no controller ended");
    }
    return site.broken.isEmpty() ? 0 : 1;
  }
}
