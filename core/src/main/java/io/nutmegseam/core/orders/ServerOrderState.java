package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.EngineSpec;
import io.nutmegseam.core.gateway.ModelSpec;
import io.nutmegseam.core.quota.ServerLimits;
import java.util.Optional;
import java.util.Set;

/**
 * A server and its pending order.
 *
 * @param entry announcement of the server, with its inventory
 * @param pending order whose completion is not confirmed; empty if there is none
 * @param pendingUntilMillis monotonic time at which the pending order should complete
 * @param followUpAllowed whether the next order may be sent before the completion of the pending
 *     one is confirmed
 * @param limits limits that the server names
 * @param conduct what the orders to the server have shown of it
 * @param unloadingAdapters adapters in the inventory whose unload waits for their runs
 */
public record ServerOrderState(
    ServerEntry entry,
    Optional<ModelOrder> pending,
    long pendingUntilMillis,
    boolean followUpAllowed,
    ServerLimits limits,
    ServerConduct conduct,
    Set<ModelRef> unloadingAdapters) {
  /**
   * Minimum delay after which an order counts as stalled. An unload waits for the requests in
   * progress.
   */
  private static final long MIN_STALLED_MILLIS = 3_000;

  /**
   * Requests for a model arrive in bursts, so a server serves them within its limit only if that is
   * a multiple of their rate.
   */
  private static final double LIMIT_PER_RATE = 2;

  /**
   * The next order may be sent this long before an unload is expected to end, since unloads of
   * models without running requests end early.
   */
  private static final long MAX_EARLY_FOLLOW_UP_MILLIS = 100;

  /** Creates a state with a copy of the adapters. */
  public ServerOrderState {
    unloadingAdapters = Set.copyOf(unloadingAdapters);
  }

  /** Creates the state of a server that unloads no adapter. */
  public ServerOrderState(
      ServerEntry entry,
      Optional<ModelOrder> pending,
      long pendingUntilMillis,
      boolean followUpAllowed,
      ServerLimits limits,
      ServerConduct conduct) {
    this(entry, pending, pendingUntilMillis, followUpAllowed, limits, conduct, Set.of());
  }

  /** Creates the state of a sound server that names no limits and unloads no adapter. */
  public ServerOrderState(
      ServerEntry entry,
      Optional<ModelOrder> pending,
      long pendingUntilMillis,
      boolean followUpAllowed) {
    this(
        entry,
        pending,
        pendingUntilMillis,
        followUpAllowed,
        ServerLimits.NONE,
        ServerConduct.SOUND);
  }

  /** Returns whether the limits of the server allow the requests for a model of a rate. */
  boolean allows(double ratePerSecond) {
    return limits.requestsPerSecond() >= LIMIT_PER_RATE * ratePerSecond;
  }

  /** Returns the id of the server. */
  public String id() {
    return entry.incarnation().id();
  }

  /** Returns whether the server responds, is not draining and has no order in flight. */
  public boolean canAcceptOrder() {
    return conduct.responds()
        && pending.isEmpty()
        && !entry.draining()
        && !entry.inventory().busy();
  }

  /** Returns whether the next order of a swap can be sent now. */
  boolean canContinueSwap() {
    return !entry.draining() && (followUpAllowed || canAcceptOrder());
  }

  /**
   * Returns whether an unload is expected to go on for so long that the server would refuse the
   * next order, as it does until the unload ends.
   */
  boolean isUnloadExpected(long nowMillis) {
    return followUpAllowed && pendingUntilMillis - nowMillis > MAX_EARLY_FOLLOW_UP_MILLIS;
  }

  /**
   * Returns the monotonic time at which the pending order is expected to complete, in milliseconds;
   * the current time without one. An overdue order is expected to take as long again as it is
   * overdue.
   */
  long expectedReadyMillis(long nowMillis) {
    if (pending.isEmpty()) {
      return nowMillis;
    }
    return pendingUntilMillis >= nowMillis
        ? pendingUntilMillis
        : 2 * nowMillis - pendingUntilMillis;
  }

  /**
   * Returns whether the server does not respond, or the pending order is overdue for so long that
   * the server may never complete it. A load may take up to twice the usual time, since loads from
   * the weight store slow one another down.
   */
  boolean isStalled(EngineSpec engine, long nowMillis) {
    if (pending.isEmpty()) {
      return !conduct.responds();
    }
    ModelSpec model = engine.models().get(pending.get().ref().model());
    long usualMillis = model == null ? 0 : pending.get().source().loadMillis(model);
    return nowMillis - pendingUntilMillis > Math.max(MIN_STALLED_MILLIS, usualMillis);
  }

  /** Returns whether the server is less likely than others to complete a load from a source. */
  boolean mayLoseLoad(LoadSource source) {
    return source == LoadSource.STORE && conduct.recentlyStarted();
  }

  /** Returns the model whose load is in flight, or empty if there is none. */
  Optional<String> loadingModel() {
    return pending
        .filter(order -> order.operation() == ModelOrder.Operation.LOAD)
        .filter(order -> !order.ref().isAdapter())
        .map(order -> order.ref().model());
  }

  /** Returns whether a load of a model is in flight. */
  boolean isLoading(String model) {
    return loadingModel().filter(model::equals).isPresent();
  }

  /** Returns whether an unload of a model is in flight. */
  boolean isUnloading(String model) {
    return pending
        .filter(order -> order.operation() == ModelOrder.Operation.UNLOAD)
        .filter(order -> !order.ref().isAdapter() && order.ref().model().equals(model))
        .isPresent();
  }

  /** Returns whether the server serves the model of an adapter and has the adapter for requests. */
  boolean servesAdapter(ModelRef adapter) {
    return serves(adapter.model())
        && entry.inventory().hasLoaded(adapter)
        && !unloadingAdapters.contains(adapter);
  }

  /** Returns whether the server has loaded a model and is neither draining nor unloading it. */
  boolean serves(String model) {
    boolean loaded = entry.inventory().adaptersByModel().containsKey(model);
    return loaded && !entry.draining() && !isUnloading(model);
  }
}
