package dev.dunefront.load;

import java.util.List;
import java.util.Map;

/**
 * What a run has measured, all controllers together unless said otherwise.
 *
 * @param spanS seconds in which it was counted
 * @param starts tasks that began meanwhile
 * @param running tasks that ran at the end
 * @param mostRunning the most tasks that ever ran at once
 * @param cpuS processor seconds of the controllers
 * @param bytes bytes that the controllers read and wrote
 * @param residentMb resident memory of the largest controller
 * @param heapMb heap of one controller after a full collection
 * @param descriptors open files and sockets of the controller that has most
 * @param stateChanges changes that the state service counted, those in vain included
 * @param values number and mean bytes of stored values, by the first part of the key
 * @param workerBytesPerS bytes that one worker says and hears in a second, without headers
 * @param workerCpu part of a core that one hollow worker needs
 * @param hostResidentMb resident memory of the process with stand-ins and all hollow workers
 * @param urgentP50S wait of urgent tasks from submission to start, and so on
 * @param refused submissions that were answered with a retry, since the start
 * @param machinesLost machines that failed or were replaced meanwhile
 * @param unfinishedJobs accepted jobs that were not done some minutes after the last submission;
 *     counted in runs with troubles alone
 * @param broken rules that were seen broken
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
