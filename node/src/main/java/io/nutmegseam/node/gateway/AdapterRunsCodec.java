package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.orders.AdapterRuns;
import io.nutmegseam.node.peer.generated.AdapterUse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Converts the requests for adapters to peer messages and back. */
final class AdapterRunsCodec {
  private AdapterRunsCodec() {}

  /** Returns the peer messages of the runs of each adapter. */
  static List<AdapterUse> encode(
      Map<ModelWaitQueue.Key, AdapterRuns> runsByAdapter, long nowMillis) {
    return runsByAdapter.entrySet().stream()
        .map(
            entry ->
                AdapterUse.newBuilder()
                    .setService(entry.getKey().service())
                    .setModel(entry.getKey().ref().model())
                    .setAdapter(entry.getKey().ref().adapter())
                    .setRunning(entry.getValue().count())
                    .setRemainingMillis(Math.max(0, entry.getValue().endMillis() - nowMillis))
                    .build())
        .toList();
  }

  /** Returns the runs of each adapter in peer messages. */
  static Map<ModelWaitQueue.Key, AdapterRuns> decode(List<AdapterUse> messages, long nowMillis) {
    Map<ModelWaitQueue.Key, AdapterRuns> runsByAdapter = new HashMap<>();
    for (AdapterUse message : messages) {
      ModelRef ref = new ModelRef(message.getModel(), message.getAdapter());
      runsByAdapter.put(
          new ModelWaitQueue.Key(message.getService(), ref),
          new AdapterRuns(message.getRunning(), nowMillis + message.getRemainingMillis()));
    }
    return runsByAdapter;
  }
}
