package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Requests that wait until a server has loaded their model. Confined to the traffic thread. */
final class ModelWaitQueue {
  private final Map<Key, Set<Waiter>> waitersByModel = new HashMap<>();
  private final Runnable onFirstWaiter;

  /** A model of a service. */
  record Key(String service, ModelRef ref) {}

  /** A waiting request. */
  interface Waiter {
    /** Returns the monotonic time until which the request can wait. */
    long waitUntilMillis();

    /** Returns the monotonic time before which the response must begin to meet its target. */
    long targetMillis();

    /** Looks for a server again; the request leaves the queue if it finds one. */
    void retryDispatch();

    /** Refuses the request, since the node stops before its model can be loaded. */
    void refuseOnShutdown();
  }

  /**
   * Creates an empty queue.
   *
   * @param onFirstWaiter called when a request becomes the first one to wait for its model
   */
  ModelWaitQueue(Runnable onFirstWaiter) {
    this.onFirstWaiter = onFirstWaiter;
  }

  /** Adds a request that waits for a model. */
  void add(Key key, Waiter waiter) {
    Set<Waiter> waiters = waitersByModel.computeIfAbsent(key, k -> new LinkedHashSet<>());
    waiters.add(waiter);
    if (waiters.size() == 1) {
      onFirstWaiter.run();
    }
  }

  /** Removes a request if it is in the queue. */
  void remove(Key key, Waiter waiter) {
    Set<Waiter> waiters = waitersByModel.get(key);
    if (waiters != null && waiters.remove(waiter) && waiters.isEmpty()) {
      waitersByModel.remove(key);
    }
  }

  /** Retries the dispatch of all requests, the oldest of each model first. */
  void retryAll() {
    allWaiters().forEach(Waiter::retryDispatch);
  }

  /** Refuses all requests, since the node is stopping. */
  void refuseAll() {
    allWaiters().forEach(Waiter::refuseOnShutdown);
  }

  private List<Waiter> allWaiters() {
    List<Waiter> allWaiters = new ArrayList<>();
    waitersByModel.values().forEach(allWaiters::addAll);
    return allWaiters;
  }

  /** Returns a copy of the waiting requests of each model, the oldest first. */
  Map<Key, List<Waiter>> waitersByModel() {
    Map<Key, List<Waiter>> copy = new HashMap<>();
    waitersByModel.forEach((key, waiters) -> copy.put(key, List.copyOf(waiters)));
    return copy;
  }
}
