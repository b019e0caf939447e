package dev.dunefront.wire;

import java.util.List;

/** A command to a worker. */
public sealed interface Order {
  TaskId task();

  long attempt();

  Doc write();

  /** Starts an attempt. */
  record Run(TaskId task, long attempt) implements Order {
    @Override
    public Doc write() {
      return base("run", this);
    }
  }

  /** Ends an attempt, with so many seconds to save. */
  record Stop(TaskId task, long attempt, double graceS) implements Order {
    @Override
    public Doc write() {
      return base("stop", this).put("wind_down_s", graceS);
    }
  }

  /** Forgets an attempt that has ended. */
  record Clear(TaskId task, long attempt) implements Order {
    @Override
    public Doc write() {
      return base("clear", this);
    }
  }

  private static Doc base(String verb, Order o) {
    return Doc.of().put("verb", verb).put("piece", o.task().toString()).put("try_no", o.attempt());
  }

  /** The body of a direct command to a worker. */
  static byte[] direct(long token, long session, List<? extends Order> orders) {
    return Doc.of()
        .put("baton", token)
        .put("tenure", session)
        .put("orders", orders.stream().map(Order::write).toList())
        .encode();
  }

  /** The body that answers a report. */
  static byte[] answer(long token, List<? extends Order> orders) {
    return Doc.of()
        .put("baton", token)
        .put("orders", orders.stream().map(Order::write).toList())
        .encode();
  }
}
