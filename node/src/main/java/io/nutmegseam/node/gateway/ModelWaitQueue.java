package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Requests that wait until a server holds their model. Confined to the traffic thread. */
final class ModelWaitQueue {
  private final Map<Key, Set<Waiter>> waitersByModel = new HashMap<>();
  private final Runnable onFirstWaiter;

  /** A model of a service. */
  record Key(String service, ModelRef ref) {}

  /** A waiting request. */
  interface Waiter {
    /** Returns the monotonic time until which the request can wait. */
    long waitUntilMillis();

    /** Returns the monotonic time until which an answer must begin to be in time. */
    long targetMillis();

    /** Looks for a server again; the waiter leaves the room if it finds one. */
    void retryDispatch();

    /** Refuses the request, since the node ends before its model can be loaded. */
    void refuseOnShutdown();
  }

  /**
   * Creates an empty room.
   *
   * @param onFirstWaiter called when the first request waits for a model
   */
  ModelWaitQueue(Runnable onFirstWaiter) {
    this.onFirstWaiter = onFirstWaiter;
  }

  /** Adds a request. */
  void add(Key key, Waiter waiter) {
    Set<Waiter> waiters = waitersByModel.computeIfAbsent(key, k -> new LinkedHashSet<>());
    waiters.add(waiter);
    if (waiters.size() == 1) {
      onFirstWaiter.run();
    }
  }

  /** Removes a request. */
  void remove(Key key, Waiter waiter) {
    Set<Waiter> waiters = waitersByModel.get(key);
    if (waiters != null && waiters.remove(waiter) && waiters.isEmpty()) {
      waitersByModel.remove(key);
    }
  }

  /** Lets each request look again, the oldest first. */
  void retryAll() {
    all().forEach(Waiter::retryDispatch);
  }

  /** Refuses all requests. */
  void refuseAll() {
    all().forEach(Waiter::refuseOnShutdown);
  }

  private List<Waiter> all() {
    List<Waiter> all = new ArrayList<>();
    waitersByModel.values().forEach(all::addAll);
    return all;
  }

  /** Returns the number of waiting requests of each model. */
  Map<Key, List<Waiter>> waitersByModel() {
    Map<Key, List<Waiter>> copy = new HashMap<>();
    waitersByModel.forEach((key, waiters) -> copy.put(key, List.copyOf(waiters)));
    return copy;
  }
}
