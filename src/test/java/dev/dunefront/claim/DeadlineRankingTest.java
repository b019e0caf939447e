package dev.dunefront.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.InvalidSettingException;
import dev.dunefront.config.Settings;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MalformedMessageException;
import org.junit.jupiter.api.Test;

/** What is served first within a priority. */
class DeadlineRankingTest {
  private static JobSpec job(int tasks) throws MalformedMessageException {
    return JobSpec.fromDocument(
        Document.create()
            .put("id", "wk-" + tasks)
            .put("batchclass", "c")
            .put("owner", "t")
            .put("shape", "sweep")
            .put("urgency", "normal")
            .put("pieces", tasks)
            .put("vcpus", 1.0)
            .put("ram_gb", 1.0)
            .put("expect_s", 30.0));
  }

  /** What users expect of the jobs. */
  private static final String OBJECTIVES =
      """
      [[facts.objectives]]
      kind = "finished"
      class = "c"
      share = 0.9
      within_s = 100.0
      [[facts.objectives]]
      kind = "finished"
      class = "c"
      share = 0.9
      within_s = 180.0
      [[facts.objectives]]
      kind = "wait"
      class = "c"
      share = 0.9
      within_s = 5.0
      [[facts.objectives]]
      kind = "guarantee"
      share = 0.9
      within_s = 20.0
      """;

  private static Settings settings(String aims) throws InvalidSettingException {
    return Settings.parse(
        """
        host_name = "n"
        site = "a"
        listen = "10.0.0.1:80"
        peer_bind = "10.0.0.1:81"
        [outside]
        cloud = "10.2.0.2:1"
        state = "10.2.0.1:1"
        %s
        [facts.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 20.0
        [facts.state]
        rps = 100.0
        write_rps = 50.0
        value_kb = 16.0
        txn_ops = 24
        [facts.cloud]
        rps = 5.0
        list_lag_s = 2.0
        [facts.limits]
        cores = 1.0
        memory_mb = 256.0
        fd_limit = 500
        """
            .formatted(aims));
  }

  @Test
  void ranksReachableObjectivesFirstAndLargeJobsAfterSmallOnes() throws Exception {
    DeadlineRanking u = new DeadlineRanking(settings(OBJECTIVES));
    for (int i = 0; i < 20; i++) {
      u.jobSeen(job(40));
    }
    int fresh = u.rank(job(40), 40, 0, 0);
    int pressing = u.rank(job(40), 40, 65, 0);
    int late = u.rank(job(40), 40, 90, 0);
    int lost = u.rank(job(40), 40, 170, 0);
    assertTrue(pressing < fresh && fresh < late && late < lost);
    int large = u.rank(job(200), 200, 0, 0);
    assertTrue(large > fresh && large < late, "a large job makes many small ones late");
    assertEquals(fresh, u.rank(job(200), 30, 0, 0), "what is left of it is small in the end");
  }

  @Test
  void learnsTaskRunTimes() throws Exception {
    DeadlineRanking u = new DeadlineRanking(settings(OBJECTIVES));
    assertEquals(DeadlineRanking.ON_TIME, u.rank(job(40), 1, 40, 0));
    for (int i = 0; i < 60; i++) {
      u.taskCompleted(job(40), 75);
    }
    assertEquals(DeadlineRanking.LATE, u.rank(job(40), 1, 40, 0));
  }

  /** The next aim that can still be met counts, whatever was missed before. */
  @Test
  void startSlackFollowsNextReachableObjective()
      throws InvalidSettingException, MalformedMessageException {
    DeadlineRanking u = new DeadlineRanking(settings(OBJECTIVES));
    assertEquals(4.5, u.startSlackS(job(1), 0.5), 0.001);
    assertEquals(15, u.startSlackS(job(1), 5), 0.001);
    assertEquals(100 - 30 - 25, u.startSlackS(job(1), 25), 0.001, "then for the end");
    assertEquals(180 - 30 - 80, u.startSlackS(job(1), 80), 0.001);
    assertEquals(Double.POSITIVE_INFINITY, u.startSlackS(job(1), 170), "nothing can be won");
    assertEquals(
        0, new DeadlineRanking(settings("")).startSlackS(job(1), 0.5), "nothing is said of starts");
  }
}
