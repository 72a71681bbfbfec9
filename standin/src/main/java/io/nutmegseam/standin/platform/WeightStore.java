package io.nutmegseam.standin.platform;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulates a weight store of limited throughput. A limited number of parallel fetches runs at full
 * speed; each fetch beyond that slows down all of them. Models and adapters have separate limits.
 */
public final class WeightStore {
  private static final long SLICE_MILLIS = 20;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final AtomicInteger modelsInTransit = new AtomicInteger();
  private final AtomicInteger adaptersInTransit = new AtomicInteger();
  private final AtomicInteger modelFetches = new AtomicInteger();
  private final double loadsPerSecond;
  private final int parallelModels;
  private final int parallelAdapters;
  private final long adapterMillis;
  private volatile double slowdown = 1;

  /**
   * Creates a store.
   *
   * @param loadsPerSecond model fetches per second while {@code parallelModels} of them run
   * @param parallelModels number of parallel model fetches that run at full speed
   * @param parallelAdapters number of parallel adapter fetches that run at full speed
   * @param adapterMillis duration of an adapter fetch at full speed, in milliseconds
   */
  public WeightStore(
      double loadsPerSecond, int parallelModels, int parallelAdapters, long adapterMillis) {
    this.loadsPerSecond = loadsPerSecond;
    this.parallelModels = parallelModels;
    this.parallelAdapters = parallelAdapters;
    this.adapterMillis = adapterMillis;
  }

  /** Sets the factor by which all fetches, also those in progress, are slowed down. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Returns the number of model fetches started; adapter fetches do not count. */
  public int modelFetchCount() {
    return modelFetches.get();
  }

  /** Blocks for the duration of a fetch of a model or an adapter. */
  public void fetch(boolean adapter) throws InterruptedException {
    if (adapter) {
      simulateFetch(adaptersInTransit, parallelAdapters, adapterMillis);
    } else {
      modelFetches.incrementAndGet();
      simulateFetch(
          modelsInTransit,
          parallelModels,
          (long) (MILLIS_PER_SECOND * parallelModels / loadsPerSecond));
    }
  }

  private void simulateFetch(AtomicInteger inTransit, int fullSpeedLimit, long fullSpeedMillis)
      throws InterruptedException {
    inTransit.incrementAndGet();
    try {
      double doneMillis = 0;
      while (doneMillis < fullSpeedMillis) {
        long sliceMillis = Math.min(SLICE_MILLIS, fullSpeedMillis);
        Thread.sleep(sliceMillis);
        double contention = Math.max(1.0, (double) inTransit.get() / fullSpeedLimit);
        doneMillis += sliceMillis / (contention * slowdown);
      }
    } finally {
      inTransit.decrementAndGet();
    }
  }
}
