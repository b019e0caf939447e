package dev.dunefront.load;

/** Traffic of the simulated workers of one I/O thread; accessed by that thread only. */
final class WorkerTraffic {
  long reports;
  long commandRequests;
  long bytesIn;
  long bytesOut;

  /** Returns the sum of this and another. */
  WorkerTraffic plus(WorkerTraffic other) {
    WorkerTraffic sum = new WorkerTraffic();
    sum.reports = reports + other.reports;
    sum.commandRequests = commandRequests + other.commandRequests;
    sum.bytesIn = bytesIn + other.bytesIn;
    sum.bytesOut = bytesOut + other.bytesOut;
    return sum;
  }

  /** Returns the difference to an earlier count. */
  WorkerTraffic minus(WorkerTraffic earlier) {
    WorkerTraffic difference = new WorkerTraffic();
    difference.reports = reports - earlier.reports;
    difference.commandRequests = commandRequests - earlier.commandRequests;
    difference.bytesIn = bytesIn - earlier.bytesIn;
    difference.bytesOut = bytesOut - earlier.bytesOut;
    return difference;
  }
}
