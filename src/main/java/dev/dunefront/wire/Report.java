package dev.dunefront.wire;

import java.util.ArrayList;
import java.util.List;

/** What a worker tells about itself. */
public record Report(
    String host,
    String endpoint,
    String type,
    String zone,
    boolean spot,
    long session,
    long serial,
    long token,
    Double reclaimNoticeS,
    List<Task> tasks) {

  /** A task on the machine; {@code why} is set only once it has exited. */
  public record Task(TaskId id, long attempt, String state, String exitReason) {
    public boolean exited() {
      return state.equals("exited");
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof Task t
          && attempt == t.attempt
          && id.equals(t.id)
          && state.equals(t.state)
          && exitReason.equals(t.exitReason);
    }

    @Override
    public int hashCode() {
      return 31 * id.hashCode() + Long.hashCode(attempt);
    }
  }

  public static Report fromDocument(Document d) throws MalformedMessageException {
    List<Task> tasks = new ArrayList<>();
    for (Document t : d.documents("pieces")) {
      tasks.add(
          new Task(
              TaskId.parse(t.text("piece")),
              t.count("try_no"),
              t.text("status"),
              t.textOr("exit_reason", "")));
    }
    return new Report(
        d.text("host"),
        d.textOr("endpoint", ""),
        d.text("flavor"),
        d.textOr("site", ""),
        d.flagOr("loaners", false),
        d.count("tenure"),
        d.countOr("serial", 0),
        d.countOr("baton", 0),
        d.amountOrNull("recall_s"),
        tasks);
  }

  public boolean newerThan(long otherSession, long otherSerial) {
    return session > otherSession || session == otherSession && serial > otherSerial;
  }
}
