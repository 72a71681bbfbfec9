package io.nutmegseam.core.coldstart;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The coordinator's view of the weight-store budget: permits for models and for adapters, most
 * urgent request first. A permit that is not given back expires. Immutable.
 *
 * <p>The budget is a soft limit: after a change of coordinator or in a network partition, permits
 * of two coordinators can overlap for the time of one load.
 */
public final class StoreBudget {
  private final Map<String, Request> waiting;
  private final Map<String, Permit> granted;

  /**
   * A request for a permit.
   *
   * @param id names the load, such as {@code server/unit}
   * @param node the node that asks
   * @param adapter whether the unit is an adapter
   * @param interactive whether an interactive request waits
   * @param deadlineMillis earliest deadline of the waiting requests, monotonic
   * @param requestedAtMillis monotonic time of the request
   */
  public record Request(
      String id,
      String node,
      boolean adapter,
      boolean interactive,
      long deadlineMillis,
      long requestedAtMillis) {}

  /**
   * A permit in use.
   *
   * @param request the request that it answers
   * @param expiresAtMillis monotonic time at which it is taken back
   */
  public record Permit(Request request, long expiresAtMillis) {}

  /**
   * The limits.
   *
   * @param models models that may load at once
   * @param adapters adapters that may load at once
   * @param permitMillis time after which a permit is taken back
   */
  public record Limits(int models, int adapters, long permitMillis) {}

  /**
   * The outcome of one round.
   *
   * @param next the new state
   * @param grants the requests that were granted
   */
  public record GrantResult(StoreBudget next, List<Request> grants) {}

  private StoreBudget(Map<String, Request> waiting, Map<String, Permit> granted) {
    this.waiting = waiting;
    this.granted = granted;
  }

  /** Returns a budget without requests. */
  public static StoreBudget empty() {
    return new StoreBudget(Map.of(), Map.of());
  }

  /** Takes in a request; one with the same id is replaced. A granted one is granted again. */
  public StoreBudget addRequest(Request request) {
    Map<String, Request> nextWaiting = new HashMap<>(waiting);
    nextWaiting.put(request.id(), request);
    Map<String, Permit> nextGranted = new HashMap<>(granted);
    nextGranted.remove(request.id());
    return new StoreBudget(nextWaiting, nextGranted);
  }

  /** Takes a permit back or withdraws its request. */
  public StoreBudget release(String id) {
    Map<String, Request> nextWaiting = new HashMap<>(waiting);
    nextWaiting.remove(id);
    Map<String, Permit> nextGranted = new HashMap<>(granted);
    nextGranted.remove(id);
    return new StoreBudget(nextWaiting, nextGranted);
  }

  /**
   * Grants what the limits allow, most urgent first.
   *
   * @param limits the limits
   * @param nowMillis monotonic time
   */
  public GrantResult grant(Limits limits, long nowMillis) {
    Map<String, Permit> nextGranted = new HashMap<>(granted);
    nextGranted.values().removeIf(permit -> permit.expiresAtMillis() <= nowMillis);
    Map<String, Request> nextWaiting = new HashMap<>(waiting);
    nextWaiting
        .values()
        .removeIf(request -> request.requestedAtMillis() + limits.permitMillis() <= nowMillis);
    List<Request> grants = new ArrayList<>();
    List<Request> ordered = new ArrayList<>(nextWaiting.values());
    ordered.sort(urgency());
    for (Request request : ordered) {
      int limit = request.adapter() ? limits.adapters() : limits.models();
      if (inUse(nextGranted, request.adapter()) < limit) {
        nextWaiting.remove(request.id());
        nextGranted.put(request.id(), new Permit(request, nowMillis + limits.permitMillis()));
        grants.add(request);
      }
    }
    return new GrantResult(new StoreBudget(nextWaiting, nextGranted), grants);
  }

  /** Returns the number of requests that wait. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns the number of permits in use. */
  public int grantedCount() {
    return granted.size();
  }

  private static long inUse(Map<String, Permit> granted, boolean adapter) {
    return granted.values().stream().filter(g -> g.request().adapter() == adapter).count();
  }

  private static Comparator<Request> urgency() {
    return Comparator.<Request, Boolean>comparing(request -> !request.interactive())
        .thenComparingLong(Request::deadlineMillis)
        .thenComparingLong(Request::requestedAtMillis)
        .thenComparing(Request::id);
  }
}
