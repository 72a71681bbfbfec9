package io.nutmegseam.core.coldstart;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The coordinator's state of the weight-store budget. The budget grants permits for loads of models
 * and of adapters, the most urgent request first. A permit that is not released expires. Immutable.
 *
 * <p>The budget is a soft limit: after a change of coordinator or in a network partition, permits
 * of two coordinators can overlap for the duration of one load.
 */
public final class StoreBudget {
  private final Map<String, Request> requestById;
  private final Map<String, Permit> permitById;

  /**
   * A request for a permit.
   *
   * @param id identifies the load, such as {@code server/unit}
   * @param node the node that requests the permit
   * @param adapter whether the unit is an adapter
   * @param interactive whether an interactive request waits for the unit
   * @param deadlineMillis monotonic time of the earliest deadline of the waiting requests
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
   * @param request the request for which it was granted
   * @param expiresAtMillis monotonic time at which it expires
   */
  public record Permit(Request request, long expiresAtMillis) {}

  /**
   * The limits of the budget.
   *
   * @param models largest number of models that load at once
   * @param adapters largest number of adapters that load at once
   * @param permitMillis time after which a permit or a waiting request expires
   */
  public record Limits(int models, int adapters, long permitMillis) {}

  /**
   * The result of granting permits.
   *
   * @param next the budget afterwards
   * @param grants the requests that were granted, most urgent first
   */
  public record GrantResult(StoreBudget next, List<Request> grants) {}

  private StoreBudget(Map<String, Request> requestById, Map<String, Permit> permitById) {
    this.requestById = requestById;
    this.permitById = permitById;
  }

  /** Returns a budget without requests and permits. */
  public static StoreBudget empty() {
    return new StoreBudget(Map.of(), Map.of());
  }

  /**
   * Adds a request, in place of a waiting one with the same id. If a permit with this id is in use,
   * it is dropped and the request waits for a new one.
   */
  public StoreBudget addRequest(Request request) {
    Map<String, Request> nextRequests = new HashMap<>(requestById);
    nextRequests.put(request.id(), request);
    Map<String, Permit> nextPermits = new HashMap<>(permitById);
    nextPermits.remove(request.id());
    return new StoreBudget(nextRequests, nextPermits);
  }

  /** Releases the permit with an id, or removes its waiting request. */
  public StoreBudget release(String id) {
    Map<String, Request> nextRequests = new HashMap<>(requestById);
    nextRequests.remove(id);
    Map<String, Permit> nextPermits = new HashMap<>(permitById);
    nextPermits.remove(id);
    return new StoreBudget(nextRequests, nextPermits);
  }

  /**
   * Removes expired permits and requests, and grants permits up to the limits, most urgent first.
   *
   * @param limits the limits
   * @param nowMillis monotonic time
   */
  public GrantResult grant(Limits limits, long nowMillis) {
    Map<String, Permit> nextPermits = new HashMap<>(permitById);
    nextPermits.values().removeIf(permit -> permit.expiresAtMillis() <= nowMillis);
    Map<String, Request> nextRequests = new HashMap<>(requestById);
    nextRequests
        .values()
        .removeIf(request -> request.requestedAtMillis() + limits.permitMillis() <= nowMillis);
    List<Request> grants = new ArrayList<>();
    List<Request> ordered = new ArrayList<>(nextRequests.values());
    ordered.sort(urgency());
    for (Request request : ordered) {
      int limit = request.adapter() ? limits.adapters() : limits.models();
      if (permitsInUse(nextPermits, request.adapter()) < limit) {
        nextRequests.remove(request.id());
        nextPermits.put(request.id(), new Permit(request, nowMillis + limits.permitMillis()));
        grants.add(request);
      }
    }
    return new GrantResult(new StoreBudget(nextRequests, nextPermits), grants);
  }

  /** Returns the number of waiting requests. */
  public int waitingCount() {
    return requestById.size();
  }

  /** Returns the number of permits in use. */
  public int grantedCount() {
    return permitById.size();
  }

  private static long permitsInUse(Map<String, Permit> permitById, boolean adapter) {
    return permitById.values().stream()
        .filter(permit -> permit.request().adapter() == adapter)
        .count();
  }

  private static Comparator<Request> urgency() {
    return Comparator.<Request, Boolean>comparing(request -> !request.interactive())
        .thenComparingLong(Request::deadlineMillis)
        .thenComparingLong(Request::requestedAtMillis)
        .thenComparing(Request::id);
  }
}
