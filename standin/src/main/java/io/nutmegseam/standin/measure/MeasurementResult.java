package io.nutmegseam.standin.measure;

import java.util.Map;

/**
 * Figures of one measured run.
 *
 * @param label label of the run in reports
 * @param seconds length of the workload, in seconds
 * @param nodes number of nodes
 * @param requests number of requests that completed or failed before the driver stopped waiting
 * @param whole number of complete responses
 * @param late number of complete responses that ended after their deadline
 * @param refusals number of failed requests, by error kind
 * @param coldRequests number of requests whose unit was loaded on no engine when they were sent
 * @param coldMillis time to the first token of the cold requests that received one, in milliseconds
 *     by percentile
 * @param warmMillis time to the first token of the other completions that received one, in
 *     milliseconds by percentile
 * @param loads number of loads started
 * @param loadsPerWake number of loads divided by the number of units with at least one cold request
 * @param unusedLoads number of loads whose unit served no request
 * @param idleAcceleratorSeconds accelerator time of loaded units that were running no request; each
 *     unit counts with its share of the engine's memory
 * @param idleWhileWaitingSeconds the part of the idle time while a cold request was in flight
 * @param busyAcceleratorSeconds accelerator time of units that were running requests, counted like
 *     the idle time
 * @param overcommits number of loads that exceeded the memory of their engine
 * @param goodputPerSecond rate of complete responses within their deadline
 * @param controlCorePercent processor time of the control thread of a node, in percent of a core,
 *     averaged over the nodes
 * @param residentMebibytes resident memory of a node process, averaged over the nodes
 * @param sentBytesPerSecond bytes per second that a node sends to other nodes, averaged over the
 *     nodes
 * @param sentBytesPerSecondByKind the sent bytes per second, by message kind
 * @param heapKibibytes heap in use on the first node after a garbage collection; 0 if the node
 *     returned an error
 * @param tableReadsPerSecond rate of range reads of the platform's table
 * @param tableCommitsPerSecond rate of transactions committed to the platform's table
 */
public record MeasurementResult(
    String label,
    int seconds,
    int nodes,
    int requests,
    int whole,
    int late,
    Map<String, Integer> refusals,
    int coldRequests,
    Map<String, Long> coldMillis,
    Map<String, Long> warmMillis,
    int loads,
    double loadsPerWake,
    int unusedLoads,
    double idleAcceleratorSeconds,
    double idleWhileWaitingSeconds,
    double busyAcceleratorSeconds,
    int overcommits,
    double goodputPerSecond,
    double controlCorePercent,
    double residentMebibytes,
    double sentBytesPerSecond,
    Map<String, Double> sentBytesPerSecondByKind,
    long heapKibibytes,
    double tableReadsPerSecond,
    double tableCommitsPerSecond) {}
