package io.nutmegseam.core.orders;

import io.nutmegseam.core.gateway.ModelSpec;
import java.util.Comparator;
import java.util.Optional;

/** Chooses the model that makes way on a server. */
final class EvictionChooser {
  private EvictionChooser() {}

  /**
   * Returns the loaded model whose loss costs least, or empty if none may go.
   *
   * @param view what is known
   * @param server the server that needs room
   * @param forModel the model that needs it
   */
  static Optional<String> choose(ServiceSnapshot view, ServerOrderState server, String forModel) {
    return server.entry().inventory().adaptersByModel().keySet().stream()
        .filter(model -> !model.equals(forModel) && !server.isUnloading(model))
        .filter(model -> mayGo(view, model))
        .min(
            Comparator.<String>comparingDouble(model -> lossPerSecond(view, server, model))
                .thenComparing(Comparator.naturalOrder()));
  }

  /** Returns the memory that all models which may go take, in megabytes. */
  static double evictableMegabytes(ServiceSnapshot view, ServerOrderState server, String forModel) {
    double total = 0;
    for (var held : server.entry().inventory().adaptersByModel().entrySet()) {
      boolean other = !held.getKey().equals(forModel) && !server.isUnloading(held.getKey());
      if (other && mayGo(view, held.getKey())) {
        total += MemoryUse.loadedMegabytes(view.engine(), held.getKey(), held.getValue().size());
      }
    }
    return total;
  }

  /** A model stays while requests wait for it or all of its replicas are needed. */
  private static boolean mayGo(ServiceSnapshot view, String model) {
    ModelDemand demand = view.totalDemand(model);
    boolean spare =
        view.servingReplicas(model)
            > ReplicaTarget.minimumKept(demand.ratePerSecond(), view.engine().slots());
    return demand.waiting() == 0 && (spare || demand.ratePerSecond() < 1);
  }

  /** Expected time that callers lose each second if the model is gone. */
  private static double lossPerSecond(ServiceSnapshot view, ServerOrderState server, String model) {
    ModelSpec spec = view.engine().models().get(model);
    if (spec == null) {
      return 0;
    }
    int others = view.servingReplicas(model) - 1;
    LoadSource source = LoadSource.of(server.entry().inventory(), model);
    double ratePerSecond = view.totalDemand(model).ratePerSecond() + 1e-6;
    return ratePerSecond * source.loadMillis(spec) / (1 + others);
  }
}
