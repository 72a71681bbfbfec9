package io.nutmegseam.node.gateway;

import io.nutmegseam.core.dispatch.WaitingRequest;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.node.dispatch.DispatchControl;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjLongConsumer;

/** Requests that wait until a server has loaded their model. Confined to the traffic thread. */
final class ModelWaitQueue {
  private final Map<Key, Set<Waiter>> waitersByModel = new HashMap<>();
  private final DispatchControl dispatch;
  private final Runnable onFirstWaiter;
  private boolean retryScheduled;

  /** A model of a service. */
  record Key(String service, ModelRef ref) {}

  /** A waiting request. */
  interface Waiter {
    /** Returns the monotonic time until which the request can wait. */
    long waitUntilMillis();

    /** Returns the monotonic time before which the response must begin to meet its target. */
    long targetMillis();

    /** Returns what the dispatch order needs to know of the request. */
    WaitingRequest request();

    /** Looks for a server again; the request leaves the queue if it finds one. */
    void retryDispatch();

    /** Refuses the request, since the node stops before its model can be loaded. */
    void refuseOnShutdown();
  }

  /**
   * Creates an empty queue.
   *
   * @param dispatch decides the order of the requests
   * @param onFirstWaiter called when a request becomes the first one to wait for its model
   */
  ModelWaitQueue(DispatchControl dispatch, Runnable onFirstWaiter) {
    this.dispatch = dispatch;
    this.onFirstWaiter = onFirstWaiter;
  }

  /** Returns what decides the order of the requests. */
  DispatchControl dispatch() {
    return dispatch;
  }

  /** Adds a request that waits for a model. */
  void add(Key key, Waiter waiter) {
    Set<Waiter> waiters = waitersByModel.computeIfAbsent(key, k -> new LinkedHashSet<>());
    waiters.add(waiter);
    dispatch.onWaiting(waiter.request());
    if (waiters.size() == 1) {
      onFirstWaiter.run();
    }
  }

  /** Removes a request if it is in the queue. */
  void remove(Key key, Waiter waiter) {
    Set<Waiter> waiters = waitersByModel.get(key);
    if (waiters != null && waiters.remove(waiter)) {
      dispatch.onLeft(waiter.request());
      if (waiters.isEmpty()) {
        waitersByModel.remove(key);
      }
    }
  }

  /** Retries the dispatch of all requests, in the dispatch order over all models. */
  void retryAll() {
    dispatch.ordered(allWaiters(), Waiter::request).forEach(Waiter::retryDispatch);
  }

  /**
   * Retries the dispatch of all requests after a delay, unless that is scheduled already.
   *
   * @param delayMillis the delay, in milliseconds
   * @param scheduler schedules a task on the traffic thread
   */
  void retryAfter(long delayMillis, ObjLongConsumer<Runnable> scheduler) {
    if (!retryScheduled) {
      retryScheduled = true;
      scheduler.accept(
          () -> {
            retryScheduled = false;
            retryAll();
          },
          delayMillis);
    }
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
