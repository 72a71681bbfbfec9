package io.nutmegseam.core.orders;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the loads from the weight store: their rate over a sliding window, and their number side
 * by side. The store does not tell how many loads run at full speed; that is learned from the time
 * that loads take. Confined to one thread.
 */
public final class StoreLoadLimiter {
  /** A load that takes longer than this multiple of its own time shares the store with too many. */
  private static final double SLOW_RATIO = 1.25;

  /** Loads side by side until it is known how many run at full speed. */
  private static final int FIRST_PARALLEL = 2;

  private static final int GROWTH = 2;

  /** Loads that were slow side by side are not tried again for this time. */
  private static final long GROWTH_PAUSE_MILLIS = 120_000;

  /** Reports show the end of a load up to this much late. */
  private static final long REPORT_MILLIS = 600;

  private final int mostParallel;
  private final long windowMillis;
  private final Deque<Long> startedMillis = new ArrayDeque<>();
  private final Map<Object, Load> loadByServer = new HashMap<>();
  private int parallel;
  private long growFromMillis = Long.MIN_VALUE;
  private int running;
  private long runningSinceMillis;
  private double loadMillis;

  /** A load under way: when it began, and the time that all loads together had taken by then. */
  private record Load(long startMillis, double loadMillisBefore) {}

  /**
   * Creates a limit.
   *
   * @param mostParallel most loads that ever run side by side
   * @param windowMillis length of the window, in milliseconds
   */
  public StoreLoadLimiter(int mostParallel, long windowMillis) {
    this.mostParallel = mostParallel;
    this.windowMillis = windowMillis;
    this.parallel = Math.min(FIRST_PARALLEL, mostParallel);
  }

  /**
   * Notes a load that begins.
   *
   * @param server the server that loads
   * @param nowMillis monotonic time
   */
  public void onStarted(Object server, long nowMillis) {
    onRunningCount(running + 1, nowMillis);
    startedMillis.addLast(nowMillis);
    loadByServer.put(server, new Load(nowMillis, loadMillis));
  }

  /** Notes how many loads run now. */
  public void onRunningCount(int loads, long nowMillis) {
    loadMillis += (double) running * (nowMillis - runningSinceMillis);
    runningSinceMillis = nowMillis;
    running = loads;
  }

  /**
   * Notes that a load is still under way.
   *
   * @param server the server that loads
   * @param ownMillis time of the load when it has the store for itself
   * @param nowMillis monotonic time
   */
  public void onProgress(Object server, long ownMillis, long nowMillis) {
    Load load = loadByServer.get(server);
    if (load != null) {
      learn(load, ownMillis, nowMillis, false);
    }
  }

  /**
   * Notes that a load is done.
   *
   * @param server the server that has loaded
   * @param ownMillis time of the load when it has the store for itself
   * @param nowMillis monotonic time
   */
  public void onDone(Object server, long ownMillis, long nowMillis) {
    Load load = loadByServer.remove(server);
    if (load != null) {
      learn(load, ownMillis, nowMillis, true);
    }
  }

  private void learn(Load load, long ownMillis, long nowMillis, boolean done) {
    onRunningCount(running, nowMillis);
    long elapsedMillis = Math.max(1, nowMillis - load.startMillis());
    double besides = (loadMillis - load.loadMillisBefore()) / elapsedMillis;
    long shownMillis = Math.max(1, elapsedMillis - REPORT_MILLIS);
    if (shownMillis > SLOW_RATIO * ownMillis) {
      int fullSpeed = (int) Math.round(besides * ownMillis / shownMillis);
      parallel = Math.max(1, Math.min(parallel, fullSpeed));
      growFromMillis = nowMillis + GROWTH_PAUSE_MILLIS;
    } else if (done && besides > parallel - 1 && nowMillis >= growFromMillis) {
      parallel = Math.min(mostParallel, GROWTH * parallel);
    }
  }

  /** Returns how many loads run side by side at full speed, as far as is known. */
  public int parallelLoads() {
    return parallel;
  }

  /** Returns how long a load takes beside those that run, in milliseconds. */
  public long expectedMillis(long ownMillis) {
    return Math.round(ownMillis * Math.max(1, (double) running / parallel));
  }

  /**
   * Returns how many loads may begin now.
   *
   * @param loadsPerSecond the rate that the weight store allows
   * @param nowMillis monotonic time
   */
  public int allowedLoads(double loadsPerSecond, long nowMillis) {
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
