package dev.dunefront.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.InvalidSettingException;
import dev.dunefront.config.Settings;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.FakeClock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.wire.Document;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What goes to the state service first when there is little to spend. */
class HttpStateStoreTest {
  private final FakeClock timers = new FakeClock();
  private final List<String> sentPaths = new ArrayList<>();

  private HttpStateStore newStore() throws InvalidSettingException {
    Settings settings =
        Settings.parse(
            """
            host_name = "n-0"
            site = "a"
            listen = "10.0.0.1:80"
            peer_bind = "10.0.0.1:81"
            [outside]
            cloud = "10.2.0.2:1"
            state = "10.2.0.1:1"
            [[facts.teams]]
            name = "t"
            [facts.workers]
            report_s = 1.0
            lease_s = 8.0
            cancel_s = 20.0
            [facts.state]
            rps = 50.0
            write_rps = 10.0
            value_kb = 16.0
            txn_ops = 24
            [facts.cloud]
            rps = 5.0
            list_lag_s = 2.0
            [facts.limits]
            cores = 1.0
            memory_mb = 256.0
            fd_limit = 500
            """);
    HttpCaller caller =
        (address, method, path, body, deadlineS, then) -> {
          sentPaths.add(path);
          byte[] answer = Document.create().put("tenancy", 7).put("ledger_rev", 9).encode();
          timers.after(0.01, () -> then.accept(new HttpCaller.Response(200, answer, 0)));
        };
    return new HttpStateStore(
        settings,
        caller,
        timers,
        new DecisionLock(
            e -> {
              throw new AssertionError(e);
            }),
        "m");
  }

  /**
   * A controller that had asked for nothing had the least part, one request a second, of which it
   * could save up less than one, so that none ever went out. It lost its lease while it stood
   * still, and without a lease it took no larger part: it was gone for the rest of the day.
   */
  @Test
  void leaseRequestsPassQueuedWrites() throws InvalidSettingException {
    HttpStateStore store = newStore();
    store.updateShares(
        new StateStore.Usage(0, 0), Collections.nCopies(4, new StateStore.Usage(1e6, 1e6)));
    for (int i = 0; i < 60; i++) {
      String mark = store.newWriteId();
      Document value = Document.create().put(StateStore.WRITE_ID_FIELD, mark);
      store.commit(
          new Txn().requireRevision("w/x/" + i, 0).put("w/x/" + i, value), mark, done -> {});
    }
    timers.advance(10);
    grantLease(store);
    timers.advance(4);
    assertEquals(1, leasesGranted, "though there is no more than one request a second");
    assertTrue(sentPaths.contains("/leases"));
  }

  /**
   * A transaction of six changes left a debt of five, and each submission waited until that was
   * paid. It is sent when there is enough for it, and leaves a change for users.
   */
  @Test
  void submissionsAreNotDelayedByLargeTransactions() throws InvalidSettingException {
    HttpStateStore store = newStore();
    store.updateShares(new StateStore.Usage(10, 100), List.of());
    timers.advance(2);
    List<Double> waits = new ArrayList<>();
    for (int round = 0; round < 30; round++) {
      // More than there is for: it is always short.
      Txn six = new Txn();
      for (int i = 0; i < 6; i++) {
        six.put("t/x/" + round + "/" + i, Document.create().put(StateStore.WRITE_ID_FIELD, "m"));
      }
      store.tryTxn(six, StateStore.RequestPriority.CORE, d -> {});
      timers.advance(0.23 + round % 4 * 0.08);
      double asked = timers.now();
      Txn user = new Txn().put("w/j/x", Document.create().put(StateStore.WRITE_ID_FIELD, "u"));
      store.tryTxn(user, StateStore.RequestPriority.USER, d -> waits.add(timers.now() - asked));
      timers.advance(0.2);
    }
    timers.advance(3);
    assertEquals(30, waits.size());
    double mean = waits.stream().mapToDouble(d -> d).average().orElseThrow();
    assertTrue(mean < 0.1, "on average after " + mean + " s");
  }

  private int leasesGranted;

  private void grantLease(HttpStateStore store) {
    store.grantLease(
        4,
        done -> {
          if (done.ok()) {
            leasesGranted++;
          } else {
            timers.after(0.3, () -> grantLease(store));
          }
        });
  }
}
