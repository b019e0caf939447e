package dev.dunefront.load;

/** What the hollow workers of one I/O thread have said and heard; belongs to that thread. */
final class WorkerTraffic {
  long reports;
  long commandRequests;
  long bytesIn;
  long bytesOut;

  /** The sum of this and another. */
  WorkerTraffic plus(WorkerTraffic other) {
    WorkerTraffic sum = new WorkerTraffic();
    sum.reports = reports + other.reports;
    sum.commandRequests = commandRequests + other.commandRequests;
    sum.bytesIn = bytesIn + other.bytesIn;
    sum.bytesOut = bytesOut + other.bytesOut;
    return sum;
  }

  /** What was added since an earlier count. */
  WorkerTraffic minus(WorkerTraffic earlier) {
    WorkerTraffic difference = new WorkerTraffic();
    difference.reports = reports - earlier.reports;
    difference.commandRequests = commandRequests - earlier.commandRequests;
    difference.bytesIn = bytesIn - earlier.bytesIn;
    difference.bytesOut = bytesOut - earlier.bytesOut;
    return difference;
  }
}
