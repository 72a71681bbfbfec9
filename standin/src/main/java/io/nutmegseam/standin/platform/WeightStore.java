package io.nutmegseam.standin.platform;

import java.util.concurrent.atomic.AtomicInteger;

/** A rate-limited weight store: full speed for some fetches at once, slower for all beyond that. */
public final class WeightStore {
  private static final long SLICE_MILLIS = 20;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final AtomicInteger models = new AtomicInteger();
  private final AtomicInteger adapters = new AtomicInteger();
  private final AtomicInteger fetches = new AtomicInteger();
  private final double loadsPerSecond;
  private final int parallel;
  private final int adaptersParallel;
  private final long adapterMillis;
  private volatile double slowdown = 1;

  /**
   * Creates a store.
   *
   * @param loadsPerSecond model fetches a second at full speed
   * @param parallel model fetches at once at full speed
   * @param adaptersParallel adapter fetches at once at full speed
   * @param adapterMillis time of one adapter fetch at full speed
   */
  public WeightStore(
      double loadsPerSecond, int parallel, int adaptersParallel, long adapterMillis) {
    this.loadsPerSecond = loadsPerSecond;
    this.parallel = parallel;
    this.adaptersParallel = adaptersParallel;
    this.adapterMillis = adapterMillis;
  }

  /** Makes every fetch slower by a factor. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Returns the number of model fetches begun. */
  public int modelFetchCount() {
    return fetches.get();
  }

  /** Blocks for the time that a fetch takes. */
  public void fetch(boolean adapter) throws InterruptedException {
    if (adapter) {
      pass(adapters, adaptersParallel, adapterMillis);
    } else {
      fetches.incrementAndGet();
      pass(models, parallel, (long) (MILLIS_PER_SECOND * parallel / loadsPerSecond));
    }
  }

  private void pass(AtomicInteger inTransit, int fullSpeed, long millis)
      throws InterruptedException {
    inTransit.incrementAndGet();
    try {
      double doneMillis = 0;
      while (doneMillis < millis) {
        long slice = Math.min(SLICE_MILLIS, millis);
        Thread.sleep(slice);
        double crowding = Math.max(1.0, (double) inTransit.get() / fullSpeed);
        doneMillis += slice / (crowding * slowdown);
      }
    } finally {
      inTransit.decrementAndGet();
    }
  }
}
