package dev.dunefront.standin;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A worker: keeps tasks, obeys tokens, writes reports. Tasks end when they are told to. */
public final class FakeWorker {
  /** A task as the worker knows it. */
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
    List<Document> pieces = new ArrayList<>();
    tasks.forEach(
        (id, t) -> {
          Document d =
              Document.create().put("piece", id).put("try_no", t.attempt).put("status", t.state);
          pieces.add(t.exitReason == null ? d : d.put("exit_reason", t.exitReason));
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
        .put("pieces", pieces)
        .put("recall_s", reclaimNoticeS)
        .encode();
  }

  /** The cloud gives notice that it takes the machine back. */
  public void setReclaimNotice(double seconds) {
    reclaimNoticeS = seconds;
  }

  /** Takes the answer to a report; false if it carried too low a token and was dropped. */
  public boolean handleReportResponse(byte[] body) throws MalformedMessageException {
    Document d = Document.decode(body);
    if (d.countOr("baton", 0) < token) {
      return false;
    }
    token = d.count("baton");
    execute(d.documents("orders"));
    return true;
  }

  /** A direct command, as it arrives: now, or much later than it was sent. */
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

  private void execute(List<Document> orders) throws MalformedMessageException {
    for (Document o : orders) {
      String id = o.text("piece");
      long attempt = o.count("try_no");
      Task t = tasks.get(id);
      switch (o.text("verb")) {
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
        default -> throw new MalformedMessageException("verb");
      }
    }
  }

  /** Ends a task on its own account, for a reason of the protocol. */
  public void exit(String id, String why) {
    if (why.equals("done") && running().contains(id)) {
      done.add(id);
    }
    tasks.computeIfPresent(id, (k, t) -> new Task(t.attempt, "exited", why));
  }

  /** The lease has run out: all tasks are killed and forgotten. */
  public void newSession() {
    session++;
    serial = 0;
    tasks.clear();
  }

  /** It begins anew, as after a restart of its machine: whatever it knew is forgotten. */
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

  public int taskCount() {
    return tasks.size();
  }

  /** The tasks that have ever been done here. */
  public List<String> done() {
    return done;
  }

  /** Every start there has been, as {@code task#attempt}. */
  public List<String> starts() {
    return starts;
  }
}
