package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A controller crashes while it has the claims of jobs that name many machine types. */
final class TakeoverOfLargeJobs {
  private static final int LARGE_JOBS = 30;
  private static final int ORDINARY_JOBS = 6;
  private static final int PIECES = 4;
  private static final int TYPES = 700;
  private static final int MACHINES = 6;
  private static final double WAIT_S = 90;

  private TakeoverOfLargeJobs() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, TakeoverOfLargeJobs::play);
  }

  private static int play(Site site, boolean trouble) throws Exception {
    site.teams.add("name = \"trapezia\"\ncpus = 64.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0");
    List<String> names = new ArrayList<>();
    for (int i = 0; i < TYPES; i++) {
      String name = String.format(Locale.ROOT, "meso-pireas-%04d", i);
      names.add(name);
      site.types.put(name, new Site.Type(name, 16, 32));
    }
    site.standIns();
    for (int i = 0; i < MACHINES; i++) {
      site.addMachine(names.get(0), site.zones.get(i % 2));
    }
    for (int i = 0; i < site.count; i++) {
      site.startController(i);
    }
    if (!site.awaitUp(15)) {
      site.log("the controllers did not come up");
      return 2;
    }
    Thread.sleep(1500);
    List<Site.Job> jobs = new ArrayList<>();
    for (int i = 0; i < LARGE_JOBS + ORDINARY_JOBS; i++) {
      boolean large = i % 6 != 5;
      Site.Job j =
          site.newJob(
              String.format(Locale.ROOT, "wk-%06d", i + 1),
              PIECES,
              2.0,
              2.0,
              4,
              d -> d.put("flavors", large ? names : null));
      if (i == 0) {
        site.log("a submission has " + StateService.jsonBytes(j.body.encode()) + " bytes as JSON");
      }
      if (!site.submit(j, 0)) {
        site.log(j.id + " was not accepted");
        return 2;
      }
      jobs.add(j);
    }
    int busiest = 0;
    for (int i = 0; i < site.count; i++) {
      double claimed = site.metric(i, "dunefront_jobs_claimed");
      site.log(site.nodeName(i) + " has " + claimed + " claims");
      if (claimed > site.metric(busiest, "dunefront_jobs_claimed")) {
        busiest = i;
      }
    }
    if (trouble) {
      site.killController(busiest);
      Thread.sleep(4000);
      site.startController(busiest);
    }
    if (!site.awaitUp(15)) {
      site.log("not all controllers are up");
      return 2;
    }
    // From here on all troubles are over.
    double calmSince = site.now();
    int startsBefore = site.call(() -> jobs.stream().mapToInt(j -> j.starts).sum());
    int mostRunning = 0;
    int open = jobs.size();
    for (int n = 0; open > 0 && site.now() < calmSince + WAIT_S; n++) {
      Thread.sleep(1500);
      int running = site.call(site::running);
      mostRunning = n < 10 ? 0 : Math.max(mostRunning, running);
      open = 0;
      for (Site.Job j : jobs) {
        if (Double.isNaN(j.doneAt)) {
          if (site.now() < calmSince + WAIT_S) {
            site.poll(j, n % site.count);
          }
          open += Double.isNaN(j.doneAt) ? 1 : 0;
        }
      }
      site.log(open + " of " + jobs.size() + " jobs are not done, " + running + " tasks run");
    }
    int waiting = 0;
    for (Site.Job j : jobs) {
      if (Double.isNaN(j.doneAt)) {
        int starts = site.call(() -> j.starts);
        site.log(
            j.id
                + (j.body.has("flavors") ? "" : ", which names no machine type,")
                + " is "
                + j.lastStatus
                + ": tasks started "
                + starts
                + ", done "
                + j.done.size()
                + " of "
                + PIECES);
        waiting += starts < PIECES ? 1 : 0;
      }
    }
    site.log(
        waiting
            + " jobs wait for a start since "
            + Math.round(site.now() - calmSince)
            + " s after all troubles; at most "
            + mostRunning
            + " of "
            + MACHINES * 8
            + " places were taken; starts before that time "
            + startsBefore);
    boolean room = mostRunning < MACHINES * 8 - 8;
    return waiting > 0 && room && site.now() >= calmSince + WAIT_S || !site.broken.isEmpty()
        ? 1
        : 0;
  }
}
