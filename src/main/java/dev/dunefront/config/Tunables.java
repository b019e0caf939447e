package dev.dunefront.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parameters that an operator may set in a script. Times are in seconds. A default is the published
 * design's initial value where the design gives one.
 *
 * @param reach number of machines in whose books a new want is queued
 * @param reachCap maximum number of machines in whose books a want is queued
 * @param tickS interval after which an unserved want is queued on one more machine
 * @param gatherTicks number of such intervals after which freed room is reserved for a waiting want
 * @param offerWaitS time after which an offer without a response goes to the next want
 * @param headroom unstarted tasks that a controller may claim above its share
 * @param waitS time without room after which all wants of a job are withdrawn
 * @param requeueDelayS time after which withdrawn wants are queued again
 * @param nodeLeaseS duration of a controller's lease in the state service
 * @param idleBoots idle time after which a machine for which no work is expected is returned, as a
 *     multiple of the boot time of its type
 * @param idleWarmS minimum idle time before the return of a machine that urgent job arrays can use,
 *     which keeps its cached images available
 * @param patience fraction of a job's slack for which it may wait for a spot machine before an
 *     on-demand machine is rented
 * @param spare capacity kept free for urgent jobs, as a fraction of what open urgent jobs use
 * @param burialS how long the record of a machine is kept after its deletion is confirmed
 * @param beginS time within which every job starts its first task, regardless of other demand; from
 *     half of it on, room is reserved for that task across all priorities
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

  /** The default and the valid range of a setting. */
  public record Setting(double defaultValue, double min, double max, boolean wholeNumber) {}

  /** All settings by the names used in operators' scripts. */
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

  /** The defaults with some settings overridden. */
  public static Tunables withOverrides(Map<String, Double> overrides) {
    return new Tunables(
        (int) value(overrides, "reach"),
        (int) value(overrides, "reach_cap"),
        value(overrides, "tick_s"),
        (int) value(overrides, "gather_ticks"),
        value(overrides, "offer_wait_s"),
        (int) value(overrides, "headroom"),
        value(overrides, "wait_s"),
        value(overrides, "requeue_delay_s"),
        value(overrides, "node_lease_s"),
        value(overrides, "idle_boots"),
        value(overrides, "idle_warm_s"),
        value(overrides, "patience"),
        value(overrides, "spare"),
        value(overrides, "burial_s"),
        value(overrides, "begin_s"));
  }

  private static double value(Map<String, Double> overrides, String name) {
    return overrides.getOrDefault(name, SETTINGS.get(name).defaultValue());
  }

  /** Validates the value of a setting; the exception's message gives the valid range. */
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
