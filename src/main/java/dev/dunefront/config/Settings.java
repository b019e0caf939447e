package dev.dunefront.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The settings file that the platform hands over. Unknown fields are ignored. */
public record Settings(
    String node,
    String zone,
    InetSocketAddress listen,
    InetSocketAddress peerListen,
    List<Peer> peers,
    String cloud,
    String state,
    List<Team> teams,
    List<CompletionObjective> objectives,
    List<StartObjective> startObjectives,
    WorkerTimings workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    ProcessLimits processLimits) {

  /** Another controller: its name, zone and address for peers. */
  public record Peer(String node, String zone, InetSocketAddress address) {}

  /** A team's guarantee and limit; a limit of 0 means none is set. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    public boolean limited() {
      return cpusMax > 0 || gpusMax > 0;
    }
  }

  /**
   * Something that users expect of a class of jobs: done by the deadline times a factor, or done
   * within a time. Objectives of other kinds are not kept.
   */
  public record CompletionObjective(String jobClass, Double deadlineFactor, Double withinS) {}

  /**
   * Tasks are to start within a time, counted from their job's submission: those of a class, or,
   * where that is null, of any job within its team's guarantee.
   */
  public record StartObjective(String jobClass, double withinS) {}

  /** The workers' rhythm in seconds: between reports, of a lease, for a cancellation. */
  public record WorkerTimings(double reportS, double leaseS, double cancelS) {}

  /** What the state service allows: requests and changes a second, value size, changes at once. */
  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {}

  /** What the cloud allows: calls a second; and by how many seconds its list lags. */
  public record CloudLimits(double rps, double listLagS) {}

  /** What this process may use: part of a core, megabytes, sockets. */
  public record ProcessLimits(double cores, double memoryMb, int sockets) {}

  /** How many controllers there are, this one included. */
  public int controllerCount() {
    return peers.size() + 1;
  }

  public Optional<Team> team(String name) {
    return teams.stream().filter(t -> t.name().equals(name)).findFirst();
  }

  public static Settings load(Path file) throws InvalidSettingException {
    String text;
    try {
      text = Files.readString(file);
    } catch (NoSuchFileException e) {
      throw new InvalidSettingException("settings file " + file + " does not exist");
    } catch (IOException e) {
      throw new InvalidSettingException("settings file " + file + " cannot be read");
    }
    return parse(text);
  }

  public static Settings parse(String toml) throws InvalidSettingException {
    Map<String, Object> root;
    try (JsonParser parser = new TomlFactory().createParser(toml)) {
      parser.nextToken();
      root = table(parser);
    } catch (JsonProcessingException e) {
      var at = e.getLocation();
      throw new InvalidSettingException(
          "settings are not TOML" + (at == null ? "" : " (line " + at.getLineNr() + ")"));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    Section top = new Section("", root);
    List<Peer> peers = new ArrayList<>();
    Set<String> names = new HashSet<>();
    names.add(top.text("host_name"));
    for (Section s : top.list("others")) {
      Peer p = new Peer(s.text("host_name"), s.text("site"), s.address("address"));
      if (!names.add(p.node())) {
        throw new InvalidSettingException(
            s.path("host_name") + " names " + p.node() + " a second time");
      }
      peers.add(p);
    }
    Section outside = top.section("outside");
    Section facts = top.section("facts");
    List<Team> teams = new ArrayList<>();
    for (Section s : facts.list("teams")) {
      teams.add(
          new Team(
              s.text("name"),
              s.amountOr("cpus", 0),
              s.amountOr("cpus_max", 0),
              s.amountOr("gpus", 0),
              s.amountOr("gpus_max", 0)));
    }
    List<CompletionObjective> objectives = new ArrayList<>();
    List<StartObjective> startAims = new ArrayList<>();
    for (Section s : facts.list("objectives")) {
      String kind = s.text("kind");
      if (kind.equals("deadline")) {
        objectives.add(new CompletionObjective(s.text("class"), s.amountOr("times", 1), null));
      } else if (kind.equals("finished")) {
        objectives.add(new CompletionObjective(s.text("class"), null, s.positive("within_s")));
      } else if (kind.equals("wait")) {
        startAims.add(new StartObjective(s.text("class"), s.positive("within_s")));
      } else if (kind.equals("guarantee")) {
        startAims.add(new StartObjective(null, s.positive("within_s")));
      }
    }
    Section w = facts.section("workers");
    Section st = facts.section("state");
    Section cl = facts.section("cloud");
    Section li = facts.section("limits");
    return new Settings(
        top.text("host_name"),
        top.text("site"),
        top.address("listen"),
        top.address("peer_bind"),
        List.copyOf(peers),
        outside.hostPort("cloud"),
        outside.hostPort("state"),
        List.copyOf(teams),
        List.copyOf(objectives),
        List.copyOf(startAims),
        new WorkerTimings(w.positive("report_s"), w.positive("lease_s"), w.positive("cancel_s")),
        new StateLimits(
            st.positive("rps"),
            st.positive("write_rps"),
            st.positive("value_kb"),
            st.wholeNumber("txn_ops", 2)),
        new CloudLimits(cl.positive("rps"), cl.positive("list_lag_s")),
        new ProcessLimits(
            li.positive("cores"), li.positive("memory_mb"), li.wholeNumber("fd_limit", 16)));
  }

  // The tokens are read by hand, for setting up a mapper costs a start more than all else here.
  private static Map<String, Object> table(JsonParser parser) throws IOException {
    Map<String, Object> table = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      parser.nextToken();
      table.put(name, value(parser));
    }
    return table;
  }

  private static Object value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> table(parser);
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          list.add(value(parser));
        }
        yield list;
      }
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> parser.getText() == null ? "" : parser.getText();
    };
  }

  /** A table of the file, knowing its own name for messages. */
  private record Section(String name, Map<?, ?> node) {
    String path(String field) {
      return name.isEmpty() ? field : name + "." + field;
    }

    Object require(String field) throws InvalidSettingException {
      Object v = node.get(field);
      if (v == null) {
        throw new InvalidSettingException(path(field) + " is missing");
      }
      return v;
    }

    Section section(String field) throws InvalidSettingException {
      if (require(field) instanceof Map<?, ?> table) {
        return new Section(path(field), table);
      }
      throw new InvalidSettingException(path(field) + " is not a table");
    }

    List<Section> list(String field) throws InvalidSettingException {
      Object v = node.get(field);
      List<Section> all = new ArrayList<>();
      if (v == null) {
        return all;
      }
      if (!(v instanceof List<?> items)) {
        throw new InvalidSettingException(path(field) + " is not a list of tables");
      }
      for (Object item : items) {
        if (!(item instanceof Map<?, ?> table)) {
          throw new InvalidSettingException(path(field) + " is not a list of tables");
        }
        all.add(new Section(path(field) + "[" + all.size() + "]", table));
      }
      return all;
    }

    String text(String field) throws InvalidSettingException {
      if (require(field) instanceof String s && !s.isBlank()) {
        return s;
      }
      throw new InvalidSettingException(path(field) + " is not text");
    }

    double amountOr(String field, double fallback) throws InvalidSettingException {
      Object v = node.get(field);
      if (v == null) {
        return fallback;
      }
      if (v instanceof Double d && d >= 0 && !Double.isInfinite(d)) {
        return d;
      }
      throw new InvalidSettingException(path(field) + " is not a number of 0 or more");
    }

    double positive(String field) throws InvalidSettingException {
      require(field);
      double d = amountOr(field, 0);
      if (d <= 0) {
        throw new InvalidSettingException(path(field) + " must be above 0");
      }
      return d;
    }

    int wholeNumber(String field, int least) throws InvalidSettingException {
      double d = positive(field);
      if (d != Math.rint(d) || d < least || d > 1e9) {
        throw new InvalidSettingException(
            path(field) + " must be a whole number of " + least + " or more");
      }
      return (int) d;
    }

    String hostPort(String field) throws InvalidSettingException {
      address(field);
      return text(field);
    }

    InetSocketAddress address(String field) throws InvalidSettingException {
      String s = text(field);
      int colon = s.lastIndexOf(':');
      try {
        int port = Integer.parseInt(s.substring(colon + 1));
        // Only numeric addresses are taken: a name would need a look-up, which the platform lacks.
        if (colon > 0 && port > 0 && port < 65536 && s.substring(0, colon).matches("[0-9.]+")) {
          return new InetSocketAddress(s.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // falls through to the one message for every malformed address
      }
      throw new InvalidSettingException(path(field) + " is not an IP address and port");
    }
  }
}
