package io.nutmegseam.standin.measure;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.standin.http.HttpExchange;
import java.util.List;

/** Builds the configuration records of a measured deployment. */
final class PlannedRecords {
  private static final int SCHEMA_VERSION = 2;
  private static final String SERVICE = "bookings";

  private final Deployment deployment;
  private final boolean naive;
  private final ArrayNode records = HttpExchange.JSON.createArrayNode();

  PlannedRecords(Deployment deployment, boolean naive) {
    this.deployment = deployment;
    this.naive = naive;
  }

  ArrayNode build(List<Integer> enginePorts, List<Integer> servicePorts) {
    deployment.dataCentres().forEach(name -> record("DataCentre", name).put("region", "north"));
    addService();
    for (int i = 0; i < enginePorts.size(); i++) {
      ObjectNode server = addServer("engine-" + i, i, enginePorts.get(i));
      server.put("memoryBytes", deployment.engineBytes(i));
      server.put("tokensPerSecond", deployment.engineTokensPerSecond(i));
      server.put("checksFencing", i % 2 == 0);
    }
    for (int i = 0; i < servicePorts.size(); i++) {
      addServer("booking-" + i, i, servicePorts.get(i)).put("service", SERVICE);
    }
    for (int i = 0; i < deployment.models(); i++) {
      ObjectNode model = record("Model", "model-" + i);
      model.put("memoryBytes", deployment.modelBytes(i));
      model.put("maxReplicas", deployment.maxReplicas(i));
      model.put("loadMillis", deployment.loadMillis());
    }
    for (int i = 0; i < deployment.adapters(); i++) {
      ObjectNode adapter = record("Adapter", "adapter-" + i);
      adapter.put("model", "model-" + i % deployment.models());
      adapter.put("memoryBytes", deployment.adapterBytes());
      adapter.put("maxReplicas", 1);
    }
    addPolicy();
    return records;
  }

  private void addService() {
    ArrayNode calls = record("Service", SERVICE).putArray("calls");
    calls.addObject().put("path", "/availability").put("idempotent", true);
    calls.addObject().put("path", "/pay").put("idempotent", false);
  }

  private ObjectNode addServer(String name, int index, int port) {
    ObjectNode server = record("BackendServer", name);
    server.put("address", "http://127.0.0.1:" + port);
    server.put("dataCentre", deployment.dataCentre(index));
    server.put("vm", "vm-" + name);
    return server;
  }

  private void addPolicy() {
    ObjectNode policy = record("Policy", "default");
    policy.put("loadsPerSecond", deployment.loadsPerSecond());
    policy.put("idleSecondsPerColdStartSecond", deployment.idleSecondsPerColdStartSecond());
    if (naive) {
      policy.put("routing", "random");
      policy.put("eviction", "least-recent");
      policy.put("loadOrder", "arrival");
      policy.put("storeBudget", false);
      policy.put("coalescing", false);
    }
  }

  private ObjectNode record(String kind, String name) {
    ObjectNode record = records.addObject();
    record.put("schemaVersion", SCHEMA_VERSION);
    record.put("kind", kind);
    record.put("name", name);
    return record;
  }
}
