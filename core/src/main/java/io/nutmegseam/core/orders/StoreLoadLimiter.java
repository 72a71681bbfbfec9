package io.nutmegseam.core.orders;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Limits the loads from the weight store: their rate over a sliding window, and the number of
 * parallel loads. The store does not report how many parallel loads it serves at full speed, so the
 * limiter estimates that number from the duration of loads.
 *
 * <p>A load counts until it is known to have ended, or until it can no longer be in flight. A load
 * whose server is gone still takes a share of the store for the rest of its time. Confined to one
 * thread.
 */
public final class StoreLoadLimiter {
  /** The reports of a server that loads show it at least this often. */
  private static final long MAX_SILENCE_MILLIS = 1_000;

  private final long windowMillis;
  private final Deque<Long> startTimesMillis = new ArrayDeque<>();
  private final Map<String, StoreLoad> loadByServer = new LinkedHashMap<>();
  private final List<StoreLoad> untrackedLoads = new ArrayList<>();
  private final ParallelLoadEstimate estimate;
  private int unknownLoads;
  private long occupancyUpdatedMillis;
  private double totalLoadMillis;

  /**
   * Creates a limiter.
   *
   * @param maxParallelLoads upper bound of the number of parallel loads
   * @param windowMillis length of the sliding window, in milliseconds
   */
  public StoreLoadLimiter(int maxParallelLoads, long windowMillis) {
    this.windowMillis = windowMillis;
    this.estimate = new ParallelLoadEstimate(maxParallelLoads);
  }

  /**
   * Records that the order of a load is sent.
   *
   * @param server the server that loads
   * @param model name of the model
   * @param uncontendedMillis duration of the load without parallel loads, in milliseconds
   * @param nowMillis monotonic time
   */
  public void onStarted(String server, String model, long uncontendedMillis, long nowMillis) {
    onUntracked(server, nowMillis);
    startTimesMillis.addLast(nowMillis);
    track(server, model, uncontendedMillis, false, nowMillis);
  }

  /**
   * Records that a server has accepted the order of a load, which it may have refused before.
   *
   * @param server the server that loads
   * @param nowMillis monotonic time
   */
  public void onAccepted(String server, long nowMillis) {
    advance(nowMillis);
    StoreLoad load = loadByServer.remove(server);
    if (load != null) {
      track(server, load.model(), load.uncontendedMillis(), true, nowMillis);
    }
  }

  private void track(
      String server, String model, long uncontendedMillis, boolean accepted, long nowMillis) {
    boolean explained = areLoadsExplained(nowMillis);
    int parallelAtStart = runningLoads(nowMillis) + 1;
    loadByServer.put(
        server,
        new StoreLoad(
            server,
            model,
            nowMillis,
            uncontendedMillis,
            parallelAtStart,
            accepted,
            explained,
            totalLoadMillis,
            nowMillis));
  }

  /** Returns whether all loads that the store may serve are known. */
  private boolean areLoadsExplained(long nowMillis) {
    return unknownLoads == 0
        && loadByServer.values().stream().noneMatch(load -> isSilentPastEnd(load, nowMillis))
        && untrackedLoads.stream().allMatch(load -> isInFlight(load, nowMillis));
  }

  /**
   * Records how many servers may run a load that this limiter has not been told of.
   *
   * @param loads number of such servers
   * @param nowMillis monotonic time
   */
  public void onUnknownLoads(int loads, long nowMillis) {
    advance(nowMillis);
    unknownLoads = loads;
  }

  /**
   * Records that a server was seen to load still, and updates the estimate. A server that is silent
   * tells nothing of the store.
   *
   * @param server the server that loads
   * @param nowMillis monotonic time
   */
  public void onProgress(String server, long nowMillis) {
    advance(nowMillis);
    StoreLoad load = loadByServer.computeIfPresent(server, (s, before) -> before.seenAt(nowMillis));
    // Its server is slow if the store was seen to serve as many loads at full speed.
    if (load != null && load.parallelAtStart() > estimate.provenParallelLoads()) {
      updateEstimate(load, nowMillis, false);
    }
  }

  /**
   * Records that a load is complete, and updates the estimate.
   *
   * @param server the server that has loaded
   * @param nowMillis monotonic time
   */
  public void onDone(String server, long nowMillis) {
    advance(nowMillis);
    Optional.ofNullable(loadByServer.remove(server))
        .ifPresent(load -> updateEstimate(load, nowMillis, true));
  }

  /**
   * Records that the server did not carry out a load.
   *
   * @param server the server to which the load was ordered
   * @param nowMillis monotonic time
   */
  public void onNotLoaded(String server, long nowMillis) {
    advance(nowMillis);
    loadByServer.remove(server);
  }

  /**
   * Records that the end of a load will not be observed, as its server is gone or reports to
   * another node. The store may serve it for the rest of its time.
   *
   * @param server the server that loads
   * @param nowMillis monotonic time
   */
  public void onUntracked(String server, long nowMillis) {
    advance(nowMillis);
    Optional.ofNullable(loadByServer.remove(server)).ifPresent(untrackedLoads::add);
  }

  /**
   * Records that the end of a load will be observed again, after {@link #onUntracked}: its server
   * reports to the node that orders loads now.
   *
   * @param server the server that loads
   * @param nowMillis monotonic time
   */
  public void onTracked(String server, long nowMillis) {
    advance(nowMillis);
    findUntracked(server, nowMillis)
        .ifPresent(
            load -> {
              untrackedLoads.remove(load);
              loadByServer.put(server, load);
            });
  }

  /**
   * Returns the load in flight on a server whose end is not observed, or empty if there is none.
   */
  public Optional<StoreLoadState.LoadInFlight> untrackedLoad(String server, long nowMillis) {
    return findUntracked(server, nowMillis).map(StoreLoadLimiter::inFlight);
  }

  private Optional<StoreLoad> findUntracked(String server, long nowMillis) {
    return untrackedLoads.stream()
        .filter(load -> load.server().equals(server) && isInFlight(load, nowMillis))
        .findFirst();
  }

  /** Returns whether a load on a server counts as in flight. */
  public boolean isInFlight(String server, long nowMillis) {
    return loadByServer.containsKey(server) || findUntracked(server, nowMillis).isPresent();
  }

  /** Records that the end of no load in flight will be observed. */
  public void onAllUntracked(long nowMillis) {
    List.copyOf(loadByServer.keySet()).forEach(server -> onUntracked(server, nowMillis));
  }

  /** Returns the state for the next process that orders loads. */
  public StoreLoadState state(long nowMillis) {
    advance(nowMillis);
    List<StoreLoadState.LoadInFlight> loads = new ArrayList<>();
    loadByServer.values().forEach(load -> loads.add(inFlight(load)));
    untrackedLoads.forEach(load -> loads.add(inFlight(load)));
    return new StoreLoadState(
        loads, estimate.provenParallelLoads(), estimate.growthAllowedFromMillis());
  }

  private static StoreLoadState.LoadInFlight inFlight(StoreLoad load) {
    return new StoreLoadState.LoadInFlight(
        load.server(),
        load.model(),
        load.startMillis(),
        load.uncontendedMillis(),
        load.parallelAtStart());
  }

  /**
   * Replaces the state with that of the process that orders loads now.
   *
   * @param state state of that process, in the monotonic time of this one
   * @param nowMillis monotonic time
   */
  public void restore(StoreLoadState state, long nowMillis) {
    advance(nowMillis);
    loadByServer.clear();
    untrackedLoads.clear();
    for (StoreLoadState.LoadInFlight load : state.loads()) {
      untrackedLoads.add(
          new StoreLoad(
              load.server(),
              load.model(),
              load.startMillis(),
              load.uncontendedMillis(),
              Math.max(1, load.parallelAtStart()),
              true,
              false,
              totalLoadMillis,
              load.startMillis()));
    }
    estimate.restore(state.parallelLoads(), state.growthAllowedFromMillis(), nowMillis);
  }

  private void updateEstimate(StoreLoad load, long nowMillis, boolean done) {
    if (load.explained()) {
      long elapsedMillis = Math.max(1, nowMillis - load.startMillis());
      double addedMillis = totalLoadMillis - load.totalLoadMillisAtStart();
      estimate.update(load, addedMillis / elapsedMillis, done, nowMillis);
    }
  }

  /** Adds up the time of the loads in flight, and drops untracked ones that must have ended. */
  private void advance(long nowMillis) {
    totalLoadMillis +=
        (double) runningLoads(nowMillis) * Math.max(0, nowMillis - occupancyUpdatedMillis);
    occupancyUpdatedMillis = nowMillis;
    untrackedLoads.removeIf(load -> nowMillis >= estimate.latestEndMillis(load));
  }

  /** Returns the number of loads that may be in flight. */
  public int runningLoads(long nowMillis) {
    long tracked =
        loadByServer.values().stream().filter(load -> isTrackedInFlight(load, nowMillis)).count();
    long untracked = untrackedLoads.stream().filter(load -> isInFlight(load, nowMillis)).count();
    return (int) (tracked + untracked) + unknownLoads;
  }

  private boolean isTrackedInFlight(StoreLoad load, long nowMillis) {
    return nowMillis - load.startMillis() < maxTrackedMillis(load)
        && !isSilentPastEnd(load, nowMillis);
  }

  /**
   * Returns whether a load should have ended and its server does not say that it goes on. The
   * server may be gone, but the store is done with the load.
   */
  private boolean isSilentPastEnd(StoreLoad load, long nowMillis) {
    long endMillis = load.startMillis() + load.expectedMillis(estimate.provenParallelLoads());
    return nowMillis > Math.max(endMillis, load.lastSeenMillis()) + MAX_SILENCE_MILLIS;
  }

  /** A load that takes longer is not in flight any more: its server does not complete it. */
  private double maxTrackedMillis(StoreLoad load) {
    return ParallelLoadEstimate.SERVER_FAULT_RATIO * load.expectedMillis(estimate.parallelLoads());
  }

  private boolean isInFlight(StoreLoad untracked, long nowMillis) {
    return nowMillis - untracked.startMillis()
        < untracked.expectedMillis(estimate.provenParallelLoads());
  }

  /** Returns the number of parallel loads that were seen to run at full speed. */
  public int provenParallelLoads() {
    return estimate.provenParallelLoads();
  }

  /**
   * Returns the estimated number of parallel loads that run at full speed, which may be higher than
   * the number that was seen.
   */
  public int parallelLoads() {
    return estimate.parallelLoads();
  }

  /** Returns the expected duration of the load in flight on a server, in milliseconds. */
  public long expectedMillis(String server) {
    return loadByServer.get(server).expectedMillis(estimate.parallelLoads());
  }

  /**
   * Records that no request waits for a load: more loads at a time than were seen at full speed
   * delay nobody.
   */
  public void onNoDemand(long nowMillis) {
    estimate.onNoDemand(nowMillis);
  }

  /** Returns the loads that the store can serve. */
  public StoreCapacity capacity(double loadsPerSecond, long nowMillis) {
    return new StoreCapacity(
        allowedLoads(loadsPerSecond, nowMillis), provenParallelLoads(), nextFreeMillis(nowMillis));
  }

  /**
   * Returns how many more loads may start now.
   *
   * @param loadsPerSecond rate limit of the weight store
   * @param nowMillis monotonic time
   */
  public int allowedLoads(double loadsPerSecond, long nowMillis) {
    while (!startTimesMillis.isEmpty()
        && nowMillis - startTimesMillis.peekFirst() >= windowMillis) {
      startTimesMillis.pollFirst();
    }
    int allowedByRate = loadsPerWindow(loadsPerSecond) - startTimesMillis.size();
    return Math.max(0, Math.min(roomForLoads(nowMillis), allowedByRate));
  }

  /**
   * Returns how many more loads the store has room for: up to the number that was seen at full
   * speed, and beyond it one step at a time, whose durations show whether the store serves more. A
   * step waits until the loads before it have begun, so that it is known which loads are beyond.
   */
  private int roomForLoads(long nowMillis) {
    int running = runningLoads(nowMillis);
    if (running < estimate.provenParallelLoads()) {
      return estimate.provenParallelLoads() - running;
    }
    boolean stepAllowed =
        areLoadsExplained(nowMillis)
            && loadByServer.values().stream().allMatch(StoreLoad::accepted)
            && Stream.concat(loadByServer.values().stream(), untrackedLoads.stream())
                .noneMatch(load -> load.parallelAtStart() > estimate.provenParallelLoads());
    return stepAllowed ? estimate.parallelLoads() - running : 0;
  }

  /** Returns the monotonic time from which a further load is expected to run at full speed. */
  public long nextFreeMillis(long nowMillis) {
    int loadsToEnd = runningLoads(nowMillis) - estimate.provenParallelLoads() + 1;
    if (loadsToEnd <= unknownLoads) {
      return nowMillis;
    }
    LongStream trackedEndsMillis =
        loadByServer.values().stream()
            .filter(load -> isTrackedInFlight(load, nowMillis))
            .mapToLong(load -> load.startMillis() + load.expectedMillis(estimate.parallelLoads()));
    LongStream untrackedEndsMillis =
        untrackedLoads.stream()
            .filter(load -> isInFlight(load, nowMillis))
            .mapToLong(
                load -> load.startMillis() + load.expectedMillis(estimate.provenParallelLoads()));
    return LongStream.concat(trackedEndsMillis, untrackedEndsMillis)
        .map(endMillis -> Math.max(nowMillis, endMillis))
        .sorted()
        .skip(loadsToEnd - unknownLoads - 1L)
        .findFirst()
        .orElse(nowMillis);
  }

  private int loadsPerWindow(double loadsPerSecond) {
    return (int) Math.floor(loadsPerSecond * windowMillis / 1_000);
  }
}
