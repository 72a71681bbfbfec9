package io.nutmegseam.core.config;

/**
 * The operators' choices for the whole system.
 *
 * @param name always {@link #NAME}
 * @param loadsPerSecond loads that the weight store allows a second
 * @param loadsInParallel loads that the weight store serves at once at full speed
 * @param adaptersInTransit adapters that may load at once over all servers
 * @param idleSecondsPerColdStartSecond idle accelerator seconds that the operators would spend to
 *     save one second of a cold start
 * @param routing name of the routing policy
 * @param eviction name of the eviction policy
 * @param loadOrder name of the load order
 * @param storeBudget whether loads wait for a permit of the weight-store budget
 * @param coalescing whether routers agree on one replica to wake
 * @param queueLimit most requests that wait for one model in one class at one node
 * @param interactiveDeadlineMillis deadline of an interactive request that names none
 * @param batchDeadlineMillis deadline of a batch request that names none
 * @param scaleUpWaitMillis expected wait at loaded replicas that justifies another replica
 * @param retryPercent retries as a share of fresh requests, in percent
 * @param maxStrikes crashed backend servers after which a request is refused for good
 * @param claimRetentionMillis how long the record of an unrepeatable call is kept
 */
public record PolicyRecord(
    String name,
    double loadsPerSecond,
    int loadsInParallel,
    int adaptersInTransit,
    double idleSecondsPerColdStartSecond,
    String routing,
    String eviction,
    String loadOrder,
    boolean storeBudget,
    boolean coalescing,
    int queueLimit,
    long interactiveDeadlineMillis,
    long batchDeadlineMillis,
    long scaleUpWaitMillis,
    int retryPercent,
    int maxStrikes,
    long claimRetentionMillis)
    implements OperatorRecord {
  /** The name of the one policy record. */
  public static final String NAME = "default";

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Returns the time of one transfer from the weight store at full speed, in milliseconds. */
  public long transferMillis() {
    return (long) (MILLIS_PER_SECOND * loadsInParallel / loadsPerSecond);
  }

  @Override
  public RecordKind kind() {
    return RecordKind.POLICY;
  }
}
