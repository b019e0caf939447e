package dev.dunefront.wire;

/** A task of a job, written {@code job/number}. */
public record TaskId(String job, int number) {
  public static TaskId parse(String text) throws BadMessage {
    int slash = text.lastIndexOf('/');
    try {
      return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      throw new BadMessage("not a task: " + text);
    }
  }

  @Override
  public String toString() {
    return job + "/" + number;
  }
}
