package io.nutmegseam.standin.measure;

import java.util.Map;

/**
 * The figures of one measured run.
 *
 * @param label what was measured
 * @param seconds length of the run
 * @param nodes nodes
 * @param requests requests sent
 * @param whole whole answers
 * @param late whole answers after their deadline
 * @param refusals errors by kind
 * @param coldRequests requests whose unit was loaded nowhere
 * @param coldMillis time to the first token of cold requests, by percentile
 * @param warmMillis time to the first token of other requests, by percentile
 * @param loads loads begun
 * @param loadsPerWake loads for each unit that was woken at least once
 * @param unusedLoads loads that no request used
 * @param idleAcceleratorSeconds accelerator time held by loaded units that ran nothing
 * @param idleWhileWaitingSeconds the part of it while a cold request waited
 * @param busyAcceleratorSeconds accelerator time held by units that ran requests
 * @param overcommits loads beyond an engine's memory
 * @param goodputPerSecond whole answers in time a second
 * @param controlCorePercent processor time of the control thread of a node, in percent of a core
 * @param residentMebibytes resident memory of a node process
 * @param sentBytesPerSecond bytes that a node sends to other nodes a second
 * @param sentBytesPerSecondByKind the same by message kind
 * @param heapKibibytes heap of the first node after a collection; 0 if not read
 * @param tableReadsPerSecond range reads of all nodes
 * @param tableCommitsPerSecond committed transactions of all nodes
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
