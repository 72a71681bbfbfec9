package io.nutmegseam.core.orders;

import io.nutmegseam.core.gateway.ModelSpec;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Determines which models need a load from the weight store, over the planning rounds. Confined to
 * one thread.
 */
final class StoreQueue {
  private final UnservedModels unservedModels;
  private final UnusableCopies unusableCopies = new UnusableCopies();
  private final ReturningCopies returningCopies = new ReturningCopies();
  private final JoiningServers joiningServers = new JoiningServers();
  private ServiceSnapshot snapshot;

  /**
   * Creates a queue before the first round.
   *
   * @param unservedModels the requested models that no server serves
   */
  StoreQueue(UnservedModels unservedModels) {
    this.unservedModels = unservedModels;
  }

  /** Applies the servers of a planning round. */
  void update(ServiceSnapshot round) {
    snapshot = round;
    returningCopies.update(round);
    joiningServers.update(round);
  }

  /**
   * Applies which models have copies, none of which can be used.
   *
   * @param reservedModels models for which a server is reserved
   * @param urgent whether a model is urgent
   */
  void updateUnusableCopies(Set<String> reservedModels, Predicate<String> urgent) {
    List<String> unusable =
        unservedModels.names().stream()
            .filter(m -> snapshot.replicas(m) == 0 && !reservedModels.contains(m))
            .filter(m -> !hasUsableCopy(m, urgent.test(m)))
            .toList();
    unusableCopies.update(unusable, snapshot.nowMillis());
  }

  /** Forgets the servers. */
  void clear() {
    unusableCopies.clear();
    returningCopies.clear();
  }

  /**
   * Returns the requested models that only the weight store has, those with most requests first.
   *
   * @param reservedModels models for which a server is reserved, which are left out
   */
  List<String> requestedModels(Set<String> reservedModels) {
    return unservedModels.names().stream()
        .filter(m -> snapshot.replicas(m) == 0 && !reservedModels.contains(m))
        .filter(m -> !hasCopy(m) || areCopiesUnusable(m))
        .sorted(
            Comparator.<String>comparingLong(m -> -unservedModels.requests(m))
                .thenComparingLong(m -> -unservedModels.unservedMillis(m)))
        .toList();
  }

  /**
   * Returns the models that no server has, in the order of the configuration. Before the first
   * requests there are none as long as servers are joining, which may have them.
   */
  List<String> modelsWithoutCopy() {
    if (snapshot.demandByModel().isEmpty() && joiningServers.isAnyJoining()) {
      return List.of();
    }
    return snapshot.engine().models().keySet().stream().filter(m -> !hasCopy(m)).toList();
  }

  /** Returns whether a model has been unserved for longer than a load from the store takes. */
  boolean isUnservedForLoad(String model) {
    return unservedModels.unservedMillis(model) > storeLoadMillis(model);
  }

  /**
   * Returns whether a model has been unserved for longer than the time in which the store ends one
   * of its loads if all of its places are in use.
   */
  boolean isUnservedForPlace(String model) {
    return unservedModels.unservedMillis(model)
        > storeLoadMillis(model) / snapshot.storeCapacity().parallelLoads();
  }

  private boolean hasCopy(String model) {
    return snapshot.hasCopy(model) || returningCopies.contains(model);
  }

  private boolean hasUsableCopy(String model, boolean urgent) {
    ModelSpec spec = snapshot.engine().models().get(model);
    return snapshot.servers().stream()
        .filter(s -> LoadSource.of(s.entry().inventory(), model) != LoadSource.STORE)
        .filter(s -> !s.entry().draining())
        .filter(s -> !s.isStalled(snapshot.engine(), snapshot.nowMillis()))
        .anyMatch(s -> MemoryUse.canHost(snapshot, s, spec, urgent));
  }

  /** Returns whether copies have been unusable for longer than a load from the store takes. */
  private boolean areCopiesUnusable(String model) {
    return unusableCopies.unusableMillis(model) > storeLoadMillis(model);
  }

  private long storeLoadMillis(String model) {
    return snapshot.engine().models().get(model).storeLoadMillis();
  }
}
