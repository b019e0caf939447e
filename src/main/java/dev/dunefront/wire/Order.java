package dev.dunefront.wire;

import java.util.List;

/** A command to a worker. */
public sealed interface Order {
  TaskId task();

  long attempt();

  Doc write();

  /** Starts an attempt of a task. */
  record Run(TaskId task, long attempt) implements Order {
    @Override
    public Doc write() {
      return base("run", this);
    }
  }

  /** Stops an attempt, which gets {@code graceS} seconds to write a checkpoint. */
  record Stop(TaskId task, long attempt, double graceS) implements Order {
    @Override
    public Doc write() {
      return base("stop", this).put("wind_down_s", graceS);
    }
  }

  /** Removes an attempt that has exited from the worker's reports. */
  record Clear(TaskId task, long attempt) implements Order {
    @Override
    public Doc write() {
      return base("clear", this);
    }
  }

  private static Doc base(String verb, Order command) {
    return Doc.of()
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
  static byte[] direct(long token, long session, List<? extends Order> commands) {
    return Doc.of()
        .put("baton", token)
        .put("tenure", session)
        .put("orders", commands.stream().map(Order::write).toList())
        .encode();
  }

  /** The body of the response to a worker's report. */
  static byte[] answer(long token, List<? extends Order> commands) {
    return Doc.of()
        .put("baton", token)
        .put("orders", commands.stream().map(Order::write).toList())
        .encode();
  }
}
