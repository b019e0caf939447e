package dev.dunefront.wire;

/** A task of a job, written {@code job/number}. */
public record TaskId(String job, int number) {
  public static TaskId parse(String text) throws MalformedMessageException {
    int slash = text.lastIndexOf('/');
    try {
      return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      throw new MalformedMessageException("not a task: " + text);
    }
  }

  // Equality is written out in the records that are compared often: what the compiler makes is
  // linked at its first use, which costs a returning controller milliseconds for each record.
  @Override
  public boolean equals(Object o) {
    return o instanceof TaskId t && number == t.number && job.equals(t.job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + number;
  }

  @Override
  public String toString() {
    return job + "/" + number;
  }
}
