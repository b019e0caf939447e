package dev.dunefront.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Copies a bench site file with scaled counts. Arguments: the site file, the copy, then {@code
 * name=value} of: {@code machines} (factor on machines, capacity and team limits), {@code rates}
 * (factor on arrivals and initial jobs), {@code controllers} (their number), {@code teams} (number
 * of teams; each original team's guarantees and limits are divided among its copies), {@code cores}
 * (CPU share of each controller); and for a class of jobs {@code CLASS.rate} (arrivals per second),
 * {@code CLASS.tasks}, {@code CLASS.run} (medians; the tails scale in proportion), {@code
 * CLASS.cpus}. All other values stay. The file is processed line by line, so comments and order
 * stay as well.
 */
public final class SiteFileScaler {
  private static final Pattern FIELD = Pattern.compile("^(\\w+) = (-?[0-9.]+)$");
  private static final Pattern TEAMS = Pattern.compile("^teams = \\[(.*)]$");
  private static final Pattern ARRIVALS = Pattern.compile("^arrivals = \\{ rate = ([0-9.]+)(.*)$");

  private final Map<String, Double> factors;
  private final List<String> out = new ArrayList<>();
  private final Map<String, List<String>> teamNamesByOriginal = new LinkedHashMap<>();
  private String section = "";

  /** The class of jobs whose lines are being copied, or empty before the first. */
  private String jobClass = "";

  private SiteFileScaler(Map<String, Double> factors) {
    this.factors = factors;
  }

  public static void main(String[] arguments) throws IOException {
    Map<String, Double> factors = new HashMap<>();
    for (String argument : List.of(arguments).subList(2, arguments.length)) {
      String[] parts = argument.split("=");
      factors.put(parts[0], Double.parseDouble(parts[1]));
    }
    List<String> lines = Files.readAllLines(Path.of(arguments[0]));
    Files.write(Path.of(arguments[1]), scaledLines(lines, factors));
  }

  /** Returns the lines of the copy. */
  static List<String> scaledLines(List<String> lines, Map<String, Double> factors) {
    SiteFileScaler scaler = new SiteFileScaler(factors);
    scaler.assignTeamNames(lines);
    int i = 0;
    while (i < lines.size()) {
      if (lines.get(i).equals("[[teams]]")) {
        int end = i + 1;
        while (end < lines.size() && !lines.get(end).startsWith("[")) {
          end++;
        }
        scaler.addTeams(lines.subList(i, end));
        i = end;
      } else {
        if (lines.get(i).equals("[[jobs]]")) {
          scaler.jobClass = firstName(lines.subList(i + 1, lines.size()));
        }
        scaler.addLine(lines.get(i));
        i++;
      }
    }
    return scaler.out;
  }

  /** Returns the first name in the lines, or an empty string. */
  private static String firstName(List<String> lines) {
    for (String line : lines) {
      if (line.startsWith("name = ")) {
        return line.replaceAll("^name = \"(.*)\"$", "$1");
      }
    }
    return "";
  }

  private Double classOverride(String name) {
    return section.equals("jobs") ? factors.get(jobClass + "." + name) : null;
  }

  /** Formats a distribution with this median and tails in proportion. */
  private static String distribution(double median) {
    return String.format(
        Locale.ROOT,
        "{ median = %.1f, p95 = %.1f, max = %.1f }",
        median,
        median * P95_TO_MEDIAN,
        median * MAX_TO_MEDIAN);
  }

  private static final double P95_TO_MEDIAN = 1.5;
  private static final double MAX_TO_MEDIAN = 2;

  private double factor(String name) {
    return factors.getOrDefault(name, 1.0);
  }

  /** Distributes the requested number of teams evenly over the original teams. */
  private void assignTeamNames(List<String> lines) {
    List<String> originals = new ArrayList<>();
    for (int i = 0; i + 1 < lines.size(); i++) {
      if (lines.get(i).equals("[[teams]]")) {
        originals.add(firstName(lines.subList(i + 1, lines.size())));
      }
    }
    int requested = factors.getOrDefault("teams", (double) originals.size()).intValue();
    for (int i = 0; i < Math.max(requested, originals.size()); i++) {
      String original = originals.get(i % originals.size());
      int number = i / originals.size();
      String name =
          number == 0 ? original : String.format(Locale.ROOT, "%s-%03d", original, number);
      teamNamesByOriginal.computeIfAbsent(original, o -> new ArrayList<>()).add(name);
    }
  }

  private void addTeams(List<String> block) {
    List<String> names = teamNamesByOriginal.get(firstName(block));
    for (String name : names) {
      for (String line : block) {
        Matcher field = FIELD.matcher(line);
        if (line.startsWith("name = ")) {
          out.add("name = \"" + name + "\"");
        } else if (field.matches() && !field.group(1).equals("weight")) {
          double share = Double.parseDouble(field.group(2)) * factor("machines") / names.size();
          // Limits have a minimum, since a job must not need more than its team's limit.
          double minimum = Math.min(Double.parseDouble(field.group(2)), MIN_TEAM_LIMIT_CPUS);
          out.add(field.group(1) + " = " + Math.max(share, minimum));
        } else {
          out.add(line);
        }
      }
    }
  }

  /** Minimum CPUs of a team's limit after division. */
  private static final double MIN_TEAM_LIMIT_CPUS = 500;

  private void addLine(String line) {
    if (line.startsWith("[")) {
      section = line.replaceAll("[\\[\\]]", "");
    }
    Matcher field = FIELD.matcher(line);
    Matcher teams = TEAMS.matcher(line);
    Matcher arrivals = ARRIVALS.matcher(line);
    if (line.startsWith("tasks = {") && classOverride("tasks") != null) {
      out.add("tasks = " + distribution(classOverride("tasks")));
    } else if (line.startsWith("run_s = {") && classOverride("run") != null) {
      out.add("run_s = " + distribution(classOverride("run")));
    } else if (field.matches()) {
      out.add(field.group(1) + " = " + scaledValue(field.group(1), field.group(2)));
    } else if (teams.matches() && section.equals("jobs")) {
      List<String> all = new ArrayList<>();
      for (String quoted : teams.group(1).split(", *")) {
        String original = quoted.replace("\"", "");
        teamNamesByOriginal.get(original).forEach(name -> all.add("\"" + name + "\""));
      }
      out.add("teams = [" + String.join(", ", all) + "]");
    } else if (arrivals.matches()) {
      Double override = classOverride("rate");
      double rate =
          override != null ? override : Double.parseDouble(arrivals.group(1)) * factor("rates");
      out.add("arrivals = { rate = " + rate + arrivals.group(2));
    } else {
      out.add(line);
    }
  }

  private String scaledValue(String name, String value) {
    boolean machineCounts = section.equals("capacity") || section.equals("machines");
    if (machineCounts && (name.equals("count") || name.equals("spot"))) {
      return Long.toString(Math.round(Double.parseDouble(value) * factor("machines")));
    }
    if (name.equals("cpus") && classOverride("cpus") != null) {
      return Double.toString(classOverride("cpus"));
    }
    if (section.equals("jobs") && name.equals("initial")) {
      return Long.toString(Math.round(Double.parseDouble(value) * factor("rates")));
    }
    if (section.equals("nodes") && name.equals("count") && factors.containsKey("controllers")) {
      return Long.toString(Math.round(factors.get("controllers")));
    }
    if (section.equals("nodes") && name.equals("cpu_share") && factors.containsKey("cores")) {
      return Double.toString(factors.get("cores"));
    }
    return value;
  }
}
