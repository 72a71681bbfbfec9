package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.StreamOrigin;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** A stream whose origin is looked for at other nodes. Confined to the traffic thread. */
final class OriginLookup {
  final StreamOrigins.Query query;
  final Consumer<StreamOrigins.Finding> callback;
  final Set<String> awaited = new HashSet<>();
  final Set<StreamOrigin> candidates = new HashSet<>();
  boolean covered;
  boolean current;
  boolean answered;
  boolean askedAgain;

  OriginLookup(StreamOrigins.Query query, Consumer<StreamOrigins.Finding> callback) {
    this.query = query;
    this.callback = callback;
  }

  /**
   * Returns the origin of the stream if it is the only one that is possible for all nodes that have
   * answered. Nodes that have not seen the servers for a while could have missed a version that
   * other nodes use; then all nodes that were asked must have answered.
   */
  Optional<StreamOrigin> soleOrigin() {
    boolean certain = current || (answered && awaited.isEmpty());
    return covered && certain && candidates.size() == 1
        ? candidates.stream().findFirst()
        : Optional.empty();
  }

  /** Ends the lookup without a node that knows: it is certain only if there was one origin. */
  void finish() {
    Optional<StreamOrigin> origin = soleOrigin();
    String source = origin.isPresent() ? "the only possible origin" : "no node";
    callback.accept(new StreamOrigins.Finding(origin, source));
  }
}
