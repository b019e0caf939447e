package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Jobs bound to a zone that has lost its machines keep jobs of the other zone from starting. */
final class ZoneWithoutRoom {
  private static final int BOUND_TO_LOST_ZONE = 60;
  private static final int BOUND_TO_OTHER_ZONE = 6;
  private static final int MACHINES_PER_ZONE = 3;
  private static final double WAIT_S = 90;

  private ZoneWithoutRoom() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, ZoneWithoutRoom::play);
  }

  private static int play(Site site, boolean trouble) throws Exception {
    site.teams.add("name = \"trapezia\"\ncpus = 64.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0");
    site.types.put("mikro", new Site.Type("mikro", 4, 32));
    site.standIns();
    String lost = site.zones.get(0);
    String other = site.zones.get(1);
    List<Worker> lostMachines = new ArrayList<>();
    for (int i = 0; i < MACHINES_PER_ZONE; i++) {
      lostMachines.add(site.addMachine("mikro", lost));
      site.addMachine("mikro", other);
    }
    for (int i = 0; i < site.count; i++) {
      site.startController(i);
    }
    if (!site.awaitUp(15)) {
      site.log("the controllers did not come up");
      return 2;
    }
    Thread.sleep(1500);
    if (trouble) {
      for (Worker w : lostMachines) {
        site.run(() -> site.machineDies(w));
      }
    }
    int submitted = 0;
    List<Site.Job> inOther = new ArrayList<>();
    for (int i = 0; i < BOUND_TO_LOST_ZONE + BOUND_TO_OTHER_ZONE; i++) {
      String zone = i < BOUND_TO_LOST_ZONE ? lost : other;
      Site.Job j =
          site.newJob(
              String.format(Locale.ROOT, "wk-%06d", i + 1), 1, 1, 1, 3, d -> d.put("site", zone));
      if (!site.submit(j, i % site.count)) {
        return 2;
      }
      if (zone.equals(other)) {
        inOther.add(j);
      }
      submitted++;
    }
    site.log(submitted + " jobs submitted; the last " + inOther.size() + " are bound to " + other);
    double since = site.now();
    int open = inOther.size();
    int mostRunning = 0;
    for (int n = 0; open > 0 && site.now() < since + WAIT_S; n++) {
      Thread.sleep(2000);
      open = 0;
      for (Site.Job j : inOther) {
        if (Double.isNaN(j.doneAt)) {
          site.poll(j, n % site.count);
          open += Double.isNaN(j.doneAt) ? 1 : 0;
        }
      }
      int running = site.call(site::running);
      mostRunning = Math.max(mostRunning, running);
      site.log(
          open + " of " + inOther.size() + " jobs of " + other + " not done, " + running + " run");
    }
    int waiting = 0;
    for (Site.Job j : inOther) {
      int starts = site.call(() -> j.starts);
      site.log(j.id + " is " + j.lastStatus + ", started " + starts + " times");
      waiting += starts == 0 ? 1 : 0;
    }
    site.log(
        waiting
            + " jobs have waited "
            + Math.round(site.now() - since)
            + " s for a start; at most "
            + mostRunning
            + " of "
            + MACHINES_PER_ZONE * 4
            + " places in "
            + other
            + " were taken meanwhile");
    boolean room = !trouble || mostRunning < MACHINES_PER_ZONE * 4;
    return waiting > 0 && room && site.now() >= since + WAIT_S || !site.broken.isEmpty() ? 1 : 0;
  }
}
