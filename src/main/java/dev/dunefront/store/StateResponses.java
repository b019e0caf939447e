package dev.dunefront.store;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.store.StateStore.Outcome;
import dev.dunefront.store.StateStore.WriteResult;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;

/** Decodes responses of the state service. */
final class StateResponses {
  private static final String NO_LEASE_ERROR = "no such lease";

  private StateResponses() {}

  /** The result of a transaction or lease request; the field holds its revision or lease id. */
  static WriteResult toWriteResult(Response response, String field) {
    try {
      if (response.ok()) {
        return new WriteResult(
            Outcome.OK, Document.decode(response.body()).count(field), List.of());
      }
      if (response.status() == 409) {
        Document d = Document.decode(response.body());
        return new WriteResult(Outcome.CONFLICT, d.countOr("ledger_rev", 0), d.texts("failed"));
      }
    } catch (MalformedMessageException e) {
      return new WriteResult(Outcome.UNKNOWN, 0, List.of());
    }
    return WriteResult.of(outcome(response));
  }

  /** The outcome that the status and, for a lost lease, the body of a response stand for. */
  static Outcome outcome(Response response) {
    return switch (response.status()) {
      case 200 -> Outcome.OK;
      case 400 -> namesNoLease(response) ? Outcome.NOT_FOUND : Outcome.MALFORMED;
      case 404 -> Outcome.NOT_FOUND;
      case 409 -> Outcome.CONFLICT;
      case 429, 503 -> Outcome.REFUSED;
      default -> Outcome.UNKNOWN;
    };
  }

  /** Whether a request was rejected because its lease has expired. */
  private static boolean namesNoLease(Response response) {
    try {
      return Document.decode(response.body()).textOr("error", "").equals(NO_LEASE_ERROR);
    } catch (MalformedMessageException e) {
      return false;
    }
  }
}
