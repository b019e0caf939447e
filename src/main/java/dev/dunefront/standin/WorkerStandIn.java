package dev.dunefront.standin;

import dev.dunefront.net.Caller.Reply;
import dev.dunefront.wire.BadMessage;
import dev.dunefront.wire.Doc;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fake worker: executes commands, rejects outdated fencing tokens and creates reports. A task
 * runs until {@link #exit} or a command ends it.
 */
public final class WorkerStandIn {
  /** A task on the worker; {@code why} is null until it has exited. */
  private record Task(long attempt, String state, String why) {}

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
  private Double noticeS;

  public WorkerStandIn(String host, String endpoint, String type, String zone) {
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
    List<Doc> pieces = new ArrayList<>();
    tasks.forEach(
        (id, t) -> {
          Doc d = Doc.of().put("piece", id).put("try_no", t.attempt).put("status", t.state);
          pieces.add(t.why == null ? d : d.put("exit_reason", t.why));
        });
    return Doc.of()
        .put("host", host)
        .put("endpoint", endpoint)
        .put("flavor", type)
        .put("site", zone)
        .put("loaners", false)
        .put("tenure", session)
        .put("serial", serial)
        .put("baton", token)
        .put("pieces", pieces)
        .put("recall_s", noticeS)
        .encode();
  }

  /** Sets the notice that the cloud reclaims the machine in this many seconds. */
  public void notice(double seconds) {
    noticeS = seconds;
  }

  /**
   * Processes the response to a report.
   *
   * @return false if its token is lower than the highest one seen, in which case it is ignored
   */
  public boolean answered(byte[] body) throws BadMessage {
    Doc d = Doc.decode(body);
    if (d.countOr("baton", 0) < token) {
      return false;
    }
    token = d.count("baton");
    carryOut(d.docs("orders"));
    return true;
  }

  /**
   * Processes a request with commands when it arrives, which may be long after it was sent.
   * Responds with a 409 if its token is outdated or it is meant for another session.
   */
  public Reply orders(byte[] body) throws BadMessage {
    Doc d = Doc.decode(body);
    if (!d.has("baton") || !d.has("tenure")) {
      return new Reply(400, new byte[0], 0);
    }
    if (d.count("baton") < token || d.count("tenure") != session) {
      return new Reply(409, report(), 0);
    }
    token = d.count("baton");
    carryOut(d.docs("orders"));
    return new Reply(200, report(), 0);
  }

  private void carryOut(List<Doc> commands) throws BadMessage {
    for (Doc command : commands) {
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
        default -> throw new BadMessage("verb is none of run, stop, clear");
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
  public void beginAnew() {
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
  public int known() {
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
