package dev.dunefront.standin;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fake worker: executes commands, rejects outdated fencing tokens and creates reports. A task
 * runs until {@link #exit} or a command ends it.
 */
public final class FakeWorker {
  /** A task on the worker; {@code exitReason} is null until it has exited. */
  private record Task(long attempt, String state, String exitReason) {}

  private final String host;
  private final String endpoint;
  private final String type;
  private final String zone;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final List<String> starts = new ArrayList<>();
  private final List<String> done = new ArrayList<>();
  private long session = 1;
  private long serial;
  private long token;
  private Double reclaimNoticeS;

  public FakeWorker(String host, String endpoint, String type, String zone) {
    this.host = host;
    this.endpoint = endpoint;
    this.type = type;
    this.zone = zone;
  }

  public String host() {
    return host;
  }

  public String endpoint() {
    return endpoint;
  }

  public String type() {
    return type;
  }

  public String zone() {
    return zone;
  }

  public long token() {
    return token;
  }

  public byte[] report() {
    serial++;
    List<Document> taskDocuments = new ArrayList<>();
    tasks.forEach(
        (id, t) -> {
          Document d =
              Document.create().put("piece", id).put("try_no", t.attempt).put("status", t.state);
          taskDocuments.add(t.exitReason == null ? d : d.put("exit_reason", t.exitReason));
        });
    return Document.create()
        .put("host", host)
        .put("endpoint", endpoint)
        .put("flavor", type)
        .put("site", zone)
        .put("loaners", false)
        .put("tenure", session)
        .put("serial", serial)
        .put("baton", token)
        .put("pieces", taskDocuments)
        .put("recall_s", reclaimNoticeS)
        .encode();
  }

  /** Sets the notice that the cloud reclaims the machine in this many seconds. */
  public void setReclaimNotice(double seconds) {
    reclaimNoticeS = seconds;
  }

  /**
   * Processes the response to a report.
   *
   * @return false if its token is lower than the highest one seen, in which case it is ignored
   */
  public boolean handleReportResponse(byte[] body) throws MalformedMessageException {
    Document d = Document.decode(body);
    if (d.countOr("baton", 0) < token) {
      return false;
    }
    token = d.count("baton");
    execute(d.documents("orders"));
    return true;
  }

  /**
   * Processes a request with commands when it arrives, which may be long after it was sent.
   * Responds with a 409 if its token is outdated or it is meant for another session.
   */
  public Response handleCommands(byte[] body) throws MalformedMessageException {
    Document d = Document.decode(body);
    if (!d.has("baton") || !d.has("tenure")) {
      return new Response(400, new byte[0], 0);
    }
    if (d.count("baton") < token || d.count("tenure") != session) {
      return new Response(409, report(), 0);
    }
    token = d.count("baton");
    execute(d.documents("orders"));
    return new Response(200, report(), 0);
  }

  private void execute(List<Document> commands) throws MalformedMessageException {
    for (Document command : commands) {
      String id = command.text("piece");
      long attempt = command.count("try_no");
      Task t = tasks.get(id);
      switch (command.text("verb")) {
        case "run" -> {
          if (t == null || t.attempt != attempt && t.state.equals("exited")) {
            tasks.put(id, new Task(attempt, "running", null));
            starts.add(id + "#" + attempt);
          }
        }
        case "stop" -> {
          if (t != null && t.attempt == attempt && !t.state.equals("exited")) {
            tasks.put(id, new Task(attempt, "exited", "stopped"));
          }
        }
        case "clear" -> {
          if (t != null && t.attempt == attempt && t.state.equals("exited")) {
            tasks.remove(id);
          }
        }
        default -> throw new MalformedMessageException("verb is none of run, stop, clear");
      }
    }
  }

  /** A task exits by itself, with an exit reason of the protocol. */
  public void exit(String id, String exitReason) {
    if (exitReason.equals("done") && running().contains(id)) {
      done.add(id);
    }
    tasks.computeIfPresent(id, (k, t) -> new Task(t.attempt, "exited", exitReason));
  }

  /** The worker's lease expires: all tasks are killed and removed, and a new session begins. */
  public void newSession() {
    session++;
    serial = 0;
    tasks.clear();
  }

  /** The worker restarts with its machine and loses its session, token and tasks. */
  public void restart() {
    session = 1;
    serial = 0;
    token = 0;
    tasks.clear();
  }

  public List<String> running() {
    return tasks.entrySet().stream()
        .filter(e -> !e.getValue().state.equals("exited"))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Number of tasks that the worker reports, including exited ones. */
  public int taskCount() {
    return tasks.size();
  }

  /** All tasks that have exited as done on this worker so far. */
  public List<String> done() {
    return done;
  }

  /** All starts so far, as {@code task#attempt}. */
  public List<String> starts() {
    return starts;
  }
}
