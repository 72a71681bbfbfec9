package io.nutmegseam.core.orders;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the loads from the weight store: their number side by side, and their rate over a sliding
 * window. Confined to one thread.
 */
public final class StoreLoads {
  private final int parallel;
  private final long windowMillis;
  private final Deque<Long> startedMillis = new ArrayDeque<>();

  /**
   * Creates a limit.
   *
   * @param parallel loads that run side by side at full speed
   * @param windowMillis length of the window, in milliseconds
   */
  public StoreLoads(int parallel, long windowMillis) {
    this.parallel = parallel;
    this.windowMillis = windowMillis;
  }

  /** Notes a load that begins. */
  public void onStarted(long nowMillis) {
    startedMillis.addLast(nowMillis);
  }

  /**
   * Returns how many loads may begin now.
   *
   * @param running loads that run now
   * @param loadsPerSecond the rate that the weight store allows
   * @param nowMillis monotonic time
   */
  public int allowed(int running, double loadsPerSecond, long nowMillis) {
    while (!startedMillis.isEmpty() && nowMillis - startedMillis.peekFirst() >= windowMillis) {
      startedMillis.pollFirst();
    }
    int byRate = perWindow(loadsPerSecond) - startedMillis.size();
    return Math.max(0, Math.min(parallel - running, byRate));
  }

  private int perWindow(double loadsPerSecond) {
    return (int) Math.floor(loadsPerSecond * windowMillis / 1_000);
  }
}
