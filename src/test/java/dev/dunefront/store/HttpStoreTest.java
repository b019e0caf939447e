package dev.dunefront.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.BadSetting;
import dev.dunefront.config.Settings;
import dev.dunefront.net.Caller;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.FakeClock;
import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What goes to the state service first when there is little to spend. */
class HttpStoreTest {
  private final FakeClock timers = new FakeClock();
  private final List<String> sent = new ArrayList<>();

  private HttpStore store() throws BadSetting {
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
    Caller caller =
        (address, method, path, body, deadlineS, then) -> {
          sent.add(path);
          byte[] answer = Doc.of().put("tenancy", 7).put("ledger_rev", 9).encode();
          timers.after(0.01, () -> then.accept(new Caller.Reply(200, answer, 0)));
        };
    return new HttpStore(
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
  void aLeaseWaitsBehindNothing() throws BadSetting {
    HttpStore store = store();
    store.share(new Store.Use(0, 0), Collections.nCopies(4, new Store.Use(1e6, 1e6)));
    for (int i = 0; i < 60; i++) {
      String mark = store.newMark();
      Doc value = Doc.of().put(Store.MARK, mark);
      store.commit(new Txn().when("w/x/" + i, 0).put("w/x/" + i, value), mark, done -> {});
    }
    timers.pass(10);
    ask(store);
    timers.pass(4);
    assertEquals(1, granted, "though there is no more than one request a second");
    assertTrue(sent.contains("/leases"));
  }

  /**
   * A transaction of six changes left a debt of five, and each submission waited until that was
   * paid. It is sent when there is enough for it, and leaves a change for users.
   */
  @Test
  void aSubmissionWaitsBehindNoDebt() throws BadSetting {
    HttpStore store = store();
    store.share(new Store.Use(10, 100), List.of());
    timers.pass(2);
    List<Double> waits = new ArrayList<>();
    for (int round = 0; round < 30; round++) {
      // More than there is for: it is always short.
      Txn six = new Txn();
      for (int i = 0; i < 6; i++) {
        six.put("t/x/" + round + "/" + i, Doc.of().put(Store.MARK, "m"));
      }
      store.tryTxn(six, Store.Urgency.CORE, d -> {});
      timers.pass(0.23 + round % 4 * 0.08);
      double asked = timers.now();
      Txn user = new Txn().put("w/j/x", Doc.of().put(Store.MARK, "u"));
      store.tryTxn(user, Store.Urgency.USER, d -> waits.add(timers.now() - asked));
      timers.pass(0.2);
    }
    timers.pass(3);
    assertEquals(30, waits.size());
    double mean = waits.stream().mapToDouble(d -> d).average().orElseThrow();
    assertTrue(mean < 0.1, "on average after " + mean + " s");
  }

  private int granted;

  private void ask(HttpStore store) {
    store.grantLease(
        4,
        done -> {
          if (done.ok()) {
            granted++;
          } else {
            timers.after(0.3, () -> ask(store));
          }
        });
  }
}
