package dev.dunefront.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What an operator may tune. Times are in seconds; each default is the design's starting value
 * unless the design names none.
 *
 * @param reach machines on which a fresh want parks
 * @param reachCap the most machines on which a want parks
 * @param tickS an unserved want adds a machine to its reach every tick
 * @param gatherTicks a want that has waited this many ticks has room gathered for it
 * @param offerWaitS an unanswered offer passes on after this time
 * @param headroom unstarted tasks that a controller may claim above its share
 * @param waitS without room for this long, a job's wants are withdrawn
 * @param requeueDelayS and parked anew after this time
 * @param nodeLeaseS life of a controller's lease in the state service
 * @param idleBoots a machine that idles this many times as long as one like it takes to boot, and
 *     for which nothing is expected, is returned
 * @param idleWarmS but one that urgent arrays may use only after so long, for its images' sake
 * @param patience the part of a job's slack that it may wait for a spot machine before an ordinary
 *     one is rented for it
 * @param spare room kept ready for urgent work, as a part of what open urgent jobs take
 * @param burialS so long after its confirmed deletion a machine's record is kept
 * @param beginS every job is to begin within this time, whatever else waits; from half of it on
 *     room is gathered for its first task across all priorities
 */
public record Tunables(
    int reach,
    int reachCap,
    double tickS,
    int gatherTicks,
    double offerWaitS,
    int headroom,
    double waitS,
    double requeueDelayS,
    double nodeLeaseS,
    double idleBoots,
    double idleWarmS,
    double patience,
    double spare,
    double burialS,
    double beginS) {

  /** A setting as operators name it: its default and what it may be. */
  public record Setting(double defaultValue, double min, double max, boolean wholeNumber) {}

  /** All settings by the names that operators use. */
  public static final Map<String, Setting> SETTINGS = settings();

  public static final Tunables DEFAULTS = withOverrides(Map.of());

  private static Map<String, Setting> settings() {
    Map<String, Setting> all = new LinkedHashMap<>();
    all.put("reach", new Setting(3, 1, 1000, true));
    all.put("reach_cap", new Setting(64, 1, 10_000, true));
    all.put("tick_s", new Setting(2, 0.25, 600, false));
    all.put("gather_ticks", new Setting(3, 0, 1000, true));
    all.put("offer_wait_s", new Setting(3, 0.1, 60, false));
    all.put("headroom", new Setting(8, 0, 1_000_000, true));
    all.put("wait_s", new Setting(60, 1, 86_400, false));
    all.put("requeue_delay_s", new Setting(10, 0, 3_600, false));
    all.put("node_lease_s", new Setting(4, 1, 600, false));
    all.put("idle_boots", new Setting(1, 0, 100_000, false));
    all.put("idle_warm_s", new Setting(300, 0, 1_000_000, false));
    all.put("patience", new Setting(0.5, 0, 1, false));
    all.put("spare", new Setting(0.5, 0, 10, false));
    all.put("burial_s", new Setting(900, 60, 1_000_000, false));
    all.put("begin_s", new Setting(240, 1, 1_000_000, false));
    return all;
  }

  /** The defaults with some settings changed. */
  public static Tunables withOverrides(Map<String, Double> changed) {
    return new Tunables(
        (int) value(changed, "reach"),
        (int) value(changed, "reach_cap"),
        value(changed, "tick_s"),
        (int) value(changed, "gather_ticks"),
        value(changed, "offer_wait_s"),
        (int) value(changed, "headroom"),
        value(changed, "wait_s"),
        value(changed, "requeue_delay_s"),
        value(changed, "node_lease_s"),
        value(changed, "idle_boots"),
        value(changed, "idle_warm_s"),
        value(changed, "patience"),
        value(changed, "spare"),
        value(changed, "burial_s"),
        value(changed, "begin_s"));
  }

  private static double value(Map<String, Double> changed, String name) {
    return changed.getOrDefault(name, SETTINGS.get(name).defaultValue());
  }

  /** Checks a value for a setting; the message says what is wrong. */
  public static void validate(String name, double value) throws InvalidSettingException {
    Setting s = SETTINGS.get(name);
    if (s == null) {
      throw new InvalidSettingException(name + " is not a setting");
    }
    if (!(value >= s.min() && value <= s.max()) || s.wholeNumber() && value != Math.rint(value)) {
      throw new InvalidSettingException(
          name
              + " must be a "
              + (s.wholeNumber() ? "whole " : "")
              + "number from "
              + formatNumber(s.min())
              + " to "
              + formatNumber(s.max()));
    }
  }

  private static String formatNumber(double d) {
    return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
  }
}
