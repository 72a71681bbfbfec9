package io.nutmegseam.core.config;

/**
 * Record of the policy that applies to the entire system.
 *
 * @param name always {@link #NAME}
 * @param loadsPerSecond loads per second that the weight store sustains
 * @param loadsInParallel concurrent loads that the weight store serves at full speed
 * @param adaptersInTransit maximum number of concurrent adapter loads on all servers together
 * @param idleSecondsPerColdStartSecond idle accelerator seconds that are acceptable to save one
 *     second of a cold start
 * @param routing name of the routing policy
 * @param eviction name of the eviction policy
 * @param loadOrder name of the policy that orders waiting loads
 * @param storeBudget whether loads wait for a permit of the weight-store budget
 * @param coalescing whether all nodes request a load on the same server, not on a random one
 * @param queueLimit maximum number of waiting requests per model and class at each node
 * @param interactiveDeadlineMillis default deadline of interactive requests, in milliseconds
 * @param batchDeadlineMillis default deadline of batch requests, in milliseconds
 * @param scaleUpWaitMillis wait of a request, in milliseconds, after which units that are in use
 *     may be unloaded for it
 * @param retryPercent retries as a percentage of new requests
 * @param maxStrikes backend server crashes after which a request is refused until the strikes for
 *     them expire
 * @param claimRetentionMillis retention time of claims, in milliseconds
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
  /** Name of the only policy record. */
  public static final String NAME = "default";

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Returns the time of a transfer from the weight store at full speed, in milliseconds. */
  public long transferMillis() {
    return (long) (MILLIS_PER_SECOND * loadsInParallel / loadsPerSecond);
  }

  @Override
  public RecordKind kind() {
    return RecordKind.POLICY;
  }
}
