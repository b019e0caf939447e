package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Tasks that can start nowhere keep the room of a machine from tasks that could use it. */
final class ReservedForNobody {
  private static final int SMALL_JOBS = 6;
  private static final double WAIT_S = 90;

  private ReservedForNobody() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, ReservedForNobody::play);
  }

  private static int play(Site site, boolean trouble) throws Exception {
    site.teams.add("name = \"trapezia\"\ncpus = 64.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0");
    site.types.put("megalo", new Site.Type("megalo", 64, 256));
    site.standIns();
    site.addMachine("megalo", site.zones.get(0));
    for (int i = 0; i < site.count; i++) {
      site.startController(i);
    }
    if (!site.awaitUp(15)) {
      site.log("the controllers did not come up");
      return 2;
    }
    Thread.sleep(500);
    Site.Job service =
        site.newJob("wk-000001", 1, 1, 1, 1000, d -> d.put("shape", "daemon").put("expect_s", 0.0));
    if (!site.submit(service, 0)) {
      return 2;
    }
    for (double until = site.now() + 5; service.starts == 0 && site.now() < until; ) {
      Thread.sleep(100);
    }
    Worker second = site.addMachine("megalo", site.zones.get(1));
    Thread.sleep(2500);
    if (trouble) {
      site.run(() -> site.machineDies(second));
    }
    // The first of the large jobs may still be placed on the machine that has just stopped.
    submitLarge(site, 11);
    Thread.sleep(2000);
    submitLarge(site, 12);
    Thread.sleep(12_000);
    List<Site.Job> small = new ArrayList<>();
    for (int i = 0; i < SMALL_JOBS; i++) {
      Site.Job j =
          site.newJob(
              String.format(Locale.ROOT, "wk-%06d", 21 + i),
              1,
              1,
              1,
              2,
              d -> d.put("urgency", "normal").put("batchclass", "epanalipseis"));
      if (!site.submit(j, i % site.count)) {
        return 2;
      }
      small.add(j);
    }
    double since = site.now();
    Thread.sleep(5000);
    submitLarge(site, 13);
    int open = small.size();
    for (int n = 0; open > 0 && site.now() < since + WAIT_S; n++) {
      Thread.sleep(1500);
      open = 0;
      for (Site.Job j : small) {
        if (Double.isNaN(j.doneAt)) {
          site.poll(j, n % site.count);
          open += Double.isNaN(j.doneAt) ? 1 : 0;
        }
      }
      site.log(open + " small jobs are not done, " + site.call(site::running) + " tasks run");
    }
    int waiting = 0;
    for (Site.Job j : small) {
      int starts = site.call(() -> j.starts);
      waiting += starts == 0 ? 1 : 0;
      site.log(
          j.id
              + " is "
              + j.lastStatus
              + ", started "
              + starts
              + " times, first after "
              + Math.round(j.firstStartAt - since)
              + " s");
    }
    site.log(waiting + " jobs have waited " + Math.round(site.now() - since) + " s for a start");
    return waiting > 0 && site.now() >= since + WAIT_S || !site.broken.isEmpty() ? 1 : 0;
  }

  private static void submitLarge(Site site, int number) throws Exception {
    Site.Job j = site.newJob(String.format(Locale.ROOT, "wk-%06d", number), 1, 64, 200, 2, d -> {});
    if (!site.submit(j, number % site.count)) {
      throw new IllegalStateException(j.id + " is not accepted");
    }
  }
}
