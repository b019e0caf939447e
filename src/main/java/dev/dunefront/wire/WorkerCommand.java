package dev.dunefront.wire;

import java.util.List;

/** A command to a worker. */
public sealed interface WorkerCommand {
  TaskId task();

  long attempt();

  Document toDocument();

  /** Starts an attempt. */
  record Run(TaskId task, long attempt) implements WorkerCommand {
    @Override
    public Document toDocument() {
      return commandDocument("run", this);
    }
  }

  /** Ends an attempt, with so many seconds to save. */
  record Stop(TaskId task, long attempt, double graceS) implements WorkerCommand {
    @Override
    public Document toDocument() {
      return commandDocument("stop", this).put("wind_down_s", graceS);
    }
  }

  /** Forgets an attempt that has ended. */
  record Clear(TaskId task, long attempt) implements WorkerCommand {
    @Override
    public Document toDocument() {
      return commandDocument("clear", this);
    }
  }

  private static Document commandDocument(String verb, WorkerCommand o) {
    return Document.create()
        .put("verb", verb)
        .put("piece", o.task().toString())
        .put("try_no", o.attempt());
  }

  /** The body of a direct command to a worker. */
  static byte[] directRequest(long token, long session, List<? extends WorkerCommand> orders) {
    return Document.create()
        .put("baton", token)
        .put("tenure", session)
        .put("orders", orders.stream().map(WorkerCommand::toDocument).toList())
        .encode();
  }

  /** The body that answers a report. */
  static byte[] reportResponse(long token, List<? extends WorkerCommand> orders) {
    return Document.create()
        .put("baton", token)
        .put("orders", orders.stream().map(WorkerCommand::toDocument).toList())
        .encode();
  }
}
