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

/** Order of requests to the state service under its rate limit. */
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
          byte[] response = Doc.of().put("tenancy", 7).put("ledger_rev", 9).encode();
          timers.after(0.01, () -> then.accept(new Caller.Reply(200, response, 0)));
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
   * Guards against a controller that never regains its lease. An idle controller has the minimum
   * share of one request per second; if its bucket cannot hold a whole token, no request is ever
   * sent. Once its lease has expired during a pause it gets no larger share either, because that
   * requires a lease.
   */
  @Test
  void aLeaseWaitsBehindNothing() throws BadSetting {
    HttpStore store = store();
    store.share(new Store.Use(0, 0), Collections.nCopies(4, new Store.Use(1e6, 1e6)));
    for (int i = 0; i < 60; i++) {
      String writeId = store.newMark();
      Doc value = Doc.of().put(Store.MARK, writeId);
      store.commit(new Txn().when("w/x/" + i, 0).put("w/x/" + i, value), writeId, done -> {});
    }
    timers.pass(10);
    ask(store);
    timers.pass(4);
    assertEquals(1, granted, "a lease is granted at a rate of one request per second");
    assertTrue(sent.contains("/leases"));
  }

  /**
   * Guards against submissions that wait until the debt of a large transaction is paid. A
   * transaction of six writes must be sent only when the bucket holds enough tokens for it, and
   * must leave one for users; sent early it leaves a debt of five.
   */
  @Test
  void aSubmissionWaitsBehindNoDebt() throws BadSetting {
    HttpStore store = store();
    store.share(new Store.Use(10, 100), List.of());
    timers.pass(2);
    List<Double> delaysS = new ArrayList<>();
    for (int round = 0; round < 30; round++) {
      // More writes than the rate allows, so that tokens are always short.
      Txn largeTxn = new Txn();
      for (int i = 0; i < 6; i++) {
        largeTxn.put("t/x/" + round + "/" + i, Doc.of().put(Store.MARK, "m"));
      }
      store.tryTxn(largeTxn, Store.Urgency.CORE, d -> {});
      timers.pass(0.23 + round % 4 * 0.08);
      double sentAt = timers.now();
      Txn submission = new Txn().put("w/j/x", Doc.of().put(Store.MARK, "u"));
      store.tryTxn(submission, Store.Urgency.USER, d -> delaysS.add(timers.now() - sentAt));
      timers.pass(0.2);
    }
    timers.pass(3);
    assertEquals(30, delaysS.size());
    double meanS = delaysS.stream().mapToDouble(d -> d).average().orElseThrow();
    assertTrue(meanS < 0.1, "mean delay of submissions: " + meanS + " s");
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
