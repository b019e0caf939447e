package dev.dunefront.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

/** Order of requests to the state service under its rate limit. */
class HttpStateStoreTest {
  private final FakeClock timers = new FakeClock();
  private final List<String> sentPaths = new ArrayList<>();
  private int txnStatus = 200;
  private String txnError = "";

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
        (address, method, path, body, deadlineS, callback) -> {
          sentPaths.add(path);
          byte[] response =
              Document.create()
                  .put("tenancy", 7)
                  .put("ledger_rev", 9)
                  .put("error", txnError)
                  .encode();
          int status = path.equals("/txn") ? txnStatus : 200;
          timers.after(0.01, () -> callback.accept(new HttpCaller.Response(status, response, 0)));
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
   * Guards against a controller that never regains its lease. An idle controller has the minimum
   * share of one request per second; if its bucket cannot hold a whole token, no request is ever
   * sent. Once its lease has expired during a pause it gets no larger share either, because that
   * requires a lease.
   */
  @Test
  void leaseRequestsPassQueuedWrites() throws InvalidSettingException {
    HttpStateStore store = newStore();
    store.updateShares(
        new StateStore.Usage(0, 0), Collections.nCopies(4, new StateStore.Usage(1e6, 1e6)));
    for (int i = 0; i < 60; i++) {
      String writeId = store.newWriteId();
      Document value = Document.create().put(StateStore.WRITE_ID_FIELD, writeId);
      store.commit(
          new Txn().requireRevision("w/x/" + i, 0).put("w/x/" + i, value), writeId, result -> {});
    }
    timers.advance(10);
    grantLease(store);
    timers.advance(4);
    assertEquals(1, leasesGranted, "a lease is granted at a rate of one request per second");
    assertTrue(sentPaths.contains("/leases"));
  }

  /**
   * Guards against submissions that wait until the debt of a large transaction is paid. A
   * transaction of six writes must be sent only when the bucket holds enough tokens for it, and
   * must leave one for users; sent early it leaves a debt of five.
   */
  @Test
  void submissionsAreNotDelayedByLargeTransactions() throws InvalidSettingException {
    HttpStateStore store = newStore();
    store.updateShares(new StateStore.Usage(10, 100), List.of());
    timers.advance(2);
    List<Double> delaysS = new ArrayList<>();
    for (int round = 0; round < 30; round++) {
      // More writes than the rate allows, so that tokens are always short.
      Txn largeTxn = new Txn();
      for (int i = 0; i < 6; i++) {
        largeTxn.put(
            "t/x/" + round + "/" + i, Document.create().put(StateStore.WRITE_ID_FIELD, "m"));
      }
      store.tryTxn(largeTxn, StateStore.RequestPriority.CORE, d -> {});
      timers.advance(0.23 + round % 4 * 0.08);
      double sentAt = timers.now();
      Txn submission =
          new Txn().put("w/j/x", Document.create().put(StateStore.WRITE_ID_FIELD, "u"));
      store.tryTxn(
          submission, StateStore.RequestPriority.USER, d -> delaysS.add(timers.now() - sentAt));
      timers.advance(0.2);
    }
    timers.advance(3);
    assertEquals(30, delaysS.size());
    double meanS = delaysS.stream().mapToDouble(d -> d).average().orElseThrow();
    assertTrue(meanS < 0.1, "mean delay of submissions: " + meanS + " s");
  }

  private List<StateStore.Outcome> commit(HttpStateStore store, int valueBytes) {
    List<StateStore.Outcome> outcomes = new ArrayList<>();
    Document value =
        Document.create().put(StateStore.WRITE_ID_FIELD, "m-1").put("text", "x".repeat(valueBytes));
    store.commit(new Txn().put("w/x/1", value), "m-1", result -> outcomes.add(result.outcome()));
    timers.advance(30);
    return outcomes;
  }

  // Guards against left_waiting: a transaction that is rejected as malformed is repeated for ever.
  @Test
  void malformedTransactionIsNotRepeated() throws InvalidSettingException {
    HttpStateStore store = newStore();
    txnStatus = 400;
    txnError = "too large";
    assertEquals(List.of(StateStore.Outcome.MALFORMED), commit(store, 10));
    txnError = "no such lease";
    assertEquals(List.of(StateStore.Outcome.NOT_FOUND), commit(store, 10));
    assertEquals(2, Collections.frequency(sentPaths, "/txn"));
    assertEquals(1, store.malformedCount());
  }

  @Test
  void tooLargeTransactionIsNotSent() throws InvalidSettingException {
    HttpStateStore store = newStore();
    assertEquals(List.of(StateStore.Outcome.MALFORMED), commit(store, 16 * 1024));
    assertFalse(sentPaths.contains("/txn"));
    assertEquals(1, store.malformedCount());
  }

  private int leasesGranted;

  private void grantLease(HttpStateStore store) {
    store.grantLease(
        4,
        result -> {
          if (result.ok()) {
            leasesGranted++;
          } else {
            timers.after(0.3, () -> grantLease(store));
          }
        });
  }
}
