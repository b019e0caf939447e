package dev.dunefront.load;

import java.util.List;
import java.util.Map;

/**
 * Result of a load run. Figures are totals over all controllers unless stated otherwise.
 *
 * @param spanS duration of the measurement in seconds
 * @param starts tasks started during the measurement
 * @param running tasks running at the end
 * @param mostRunning maximum number of running tasks at any time
 * @param cpuS CPU seconds of the controllers
 * @param bytes bytes read and written by the controllers
 * @param residentMb resident megabytes of the largest controller
 * @param heapMb heap megabytes of one controller after a full garbage collection
 * @param descriptors open files and sockets of the controller with the most
 * @param stateChanges changes counted by the state service, including failed ones
 * @param values number and mean bytes of stored values, by key prefix
 * @param workerBytesPerS bytes sent and received by one worker per second, without headers
 * @param workerCpu cores used by one simulated worker
 * @param hostResidentMb resident megabytes of the process with the stand-ins and all simulated
 *     workers
 * @param urgentP50S median wait of urgent tasks from submission to start, in seconds; the other
 *     percentiles likewise
 * @param refused submission attempts that failed and were retried, since the start
 * @param machinesLost machines that failed or were replaced during the run
 * @param unfinishedJobs accepted jobs that had not finished when the drain after the last
 *     submission timed out; counted only in runs with faults
 * @param broken observed violations of invariants
 */
record Measurement(
    LoadOptions options,
    double spanS,
    long starts,
    int running,
    int mostRunning,
    double cpuS,
    long bytes,
    long peerRecords,
    long peerKilobytes,
    double residentMb,
    double heapMb,
    int descriptors,
    long stateRequests,
    long stateChanges,
    long stateConflicts,
    long stateBytesIn,
    long stateBytesOut,
    Map<String, double[]> values,
    long reports,
    long orders,
    double workerBytesPerS,
    double workerCpu,
    double hostResidentMb,
    double urgentP50S,
    double urgentP90S,
    double urgentP99S,
    double othersP90S,
    double submitP95Ms,
    int refused,
    int machinesLost,
    int unfinishedJobs,
    List<String> broken) {}
