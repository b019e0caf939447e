package dev.dunefront.wire;

import java.util.List;

/** A command to a worker. */
public sealed interface WorkerCommand {
  TaskId task();

  long attempt();

  Document toDocument();

  /** Starts an attempt of a task. */
  record Run(TaskId task, long attempt) implements WorkerCommand {
    @Override
    public Document toDocument() {
      return commandDocument("run", this);
    }
  }

  /** Stops an attempt, which gets {@code graceS} seconds to write a checkpoint. */
  record Stop(TaskId task, long attempt, double graceS) implements WorkerCommand {
    @Override
    public Document toDocument() {
      return commandDocument("stop", this).put("wind_down_s", graceS);
    }
  }

  /** Removes an attempt that has exited from the worker's reports. */
  record Clear(TaskId task, long attempt) implements WorkerCommand {
    @Override
    public Document toDocument() {
      return commandDocument("clear", this);
    }
  }

  private static Document commandDocument(String verb, WorkerCommand command) {
    return Document.create()
        .put("verb", verb)
        .put("piece", command.task().toString())
        .put("try_no", command.attempt());
  }

  /**
   * The body of a request that sends commands to a worker.
   *
   * @param token fencing token of the sender's hold on the machine
   * @param session session of the worker for which the commands are meant
   */
  static byte[] directRequest(long token, long session, List<? extends WorkerCommand> commands) {
    return Document.create()
        .put("baton", token)
        .put("tenure", session)
        .put("orders", commands.stream().map(WorkerCommand::toDocument).toList())
        .encode();
  }

  /** The body of the response to a worker's report. */
  static byte[] reportResponse(long token, List<? extends WorkerCommand> commands) {
    return Document.create()
        .put("baton", token)
        .put("orders", commands.stream().map(WorkerCommand::toDocument).toList())
        .encode();
  }
}
