package dev.dunefront.wire;

import java.util.List;

/** A job as its user submitted it. */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    boolean service,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double ramGb,
    String image,
    double imageGb,
    List<String> machineTypes,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    double estimateS,
    double checkpointIntervalS,
    double checkpointDurationS,
    Double deadlineS) {

  private static final int MAX_TASKS = 100_000;
  private static final int MAX_NAME = 120;

  /**
   * Reads what a user submits. The protocol lets only {@code flavors}, {@code site} and {@code
   * due_s} be absent; everything else a user must have said, or the job would run by our guess.
   */
  public static JobSpec fromSubmission(Document d) throws MalformedMessageException {
    for (String amount :
        List.of("cards", "size_gb", "expect_s", "snapshot_every_s", "snapshot_s")) {
      d.amount(amount);
    }
    for (String flag : List.of("same_place", "apart", "loaners")) {
      d.flag(flag);
    }
    requireName(d, "bundle");
    return fromDocument(d);
  }

  /** Reads a record, which may have been written when less was asked of users. */
  public static JobSpec fromDocument(Document d) throws MalformedMessageException {
    String shape = d.text("shape");
    if (!shape.equals("sweep") && !shape.equals("daemon")) {
      throw new MalformedMessageException(
          "shape is neither sweep nor daemon but " + truncate(shape));
    }
    long tasks = d.count("pieces");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new MalformedMessageException("pieces is not between 1 and " + MAX_TASKS);
    }
    double cpus = d.amount("vcpus");
    double gpus = d.has("cards") ? d.amount("cards") : 0;
    double ram = d.amount("ram_gb");
    if (cpus > 1e6 || gpus > 1e6 || ram > 1e6) {
      throw new MalformedMessageException("vcpus, cards or ram_gb is beyond any machine");
    }
    return new JobSpec(
        id(d.text("id")),
        requireName(d, "batchclass"),
        requireName(d, "owner"),
        shape.equals("daemon"),
        Priority.parse(d.text("urgency")),
        (int) tasks,
        cpus,
        gpus,
        ram,
        d.has("bundle") ? requireName(d, "bundle") : null,
        d.has("size_gb") ? d.amount("size_gb") : 0,
        d.has("flavors") ? List.copyOf(d.texts("flavors")) : null,
        d.textOr("site", null),
        d.flagOr("same_place", false),
        d.flagOr("apart", false),
        d.flagOr("loaners", false),
        d.has("expect_s") ? d.amount("expect_s") : 0,
        d.has("snapshot_every_s") ? d.amount("snapshot_every_s") : 0,
        d.has("snapshot_s") ? d.amount("snapshot_s") : 0,
        d.amountOrNull("due_s"));
  }

  /** The form of a job id; anything else never names a job. */
  public static String id(String text) throws MalformedMessageException {
    if (!isValidId(text)) {
      throw new MalformedMessageException("id does not have the form of a job id");
    }
    return text;
  }

  public static boolean isValidId(String text) {
    if (!text.startsWith("wk-") || text.length() < 4 || text.length() > 64) {
      return false;
    }
    return text.substring(3)
        .chars()
        .allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c == '-');
  }

  private static String truncate(String word) {
    return word.length() > 20 ? word.substring(0, 20) : word;
  }

  private static String requireName(Document d, String field) throws MalformedMessageException {
    String s = d.text(field);
    if (s.isEmpty() || s.length() > MAX_NAME) {
      throw new MalformedMessageException(field + " is empty or too long");
    }
    return s;
  }

  public Document toDocument() {
    Document d =
        Document.create()
            .put("id", id)
            .put("batchclass", jobClass)
            .put("owner", team)
            .put("shape", service ? "daemon" : "sweep")
            .put("urgency", priority.wireName())
            .put("pieces", tasks)
            .put("vcpus", cpus)
            .put("cards", gpus)
            .put("ram_gb", ramGb)
            .put("bundle", image)
            .put("size_gb", imageGb)
            .put("same_place", oneZone)
            .put("apart", spread)
            .put("loaners", spotAllowed)
            .put("expect_s", estimateS)
            .put("snapshot_every_s", checkpointIntervalS)
            .put("snapshot_s", checkpointDurationS);
    if (machineTypes != null) d.put("flavors", machineTypes);
    if (zone != null) d.put("site", zone);
    if (deadlineS != null) d.put("due_s", deadlineS);
    return d;
  }

  /** How many tasks of a job whose tasks are to be apart one zone may have. */
  public int maxTasksPerZone() {
    return (tasks + 1) / 2;
  }

  public Resources taskResources() {
    return Resources.demand(cpus, gpus, ramGb);
  }

  public boolean allows(String type, String inZone, boolean onSpot) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spotAllowed || !onSpot);
  }
}
