package dev.dunefront.config;

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
 * @param idleReturnS a hired machine that idles this long is returned
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
    double idleReturnS) {

  public static final Tunables DEFAULTS =
      new Tunables(3, 64, 2.0, 3, 3.0, 8, 60.0, 10.0, 4.0, 300.0);
}
