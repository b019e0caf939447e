package dev.dunefront.load;

/** What the hollow workers of one I/O thread have said and heard; belongs to that thread. */
final class FleetUse {
  long reports;
  long orders;
  long bytesIn;
  long bytesOut;

  /** The sum of this and another. */
  FleetUse plus(FleetUse other) {
    FleetUse sum = new FleetUse();
    sum.reports = reports + other.reports;
    sum.orders = orders + other.orders;
    sum.bytesIn = bytesIn + other.bytesIn;
    sum.bytesOut = bytesOut + other.bytesOut;
    return sum;
  }

  /** What was added since an earlier count. */
  FleetUse minus(FleetUse earlier) {
    FleetUse difference = new FleetUse();
    difference.reports = reports - earlier.reports;
    difference.orders = orders - earlier.orders;
    difference.bytesIn = bytesIn - earlier.bytesIn;
    difference.bytesOut = bytesOut - earlier.bytesOut;
    return difference;
  }
}
