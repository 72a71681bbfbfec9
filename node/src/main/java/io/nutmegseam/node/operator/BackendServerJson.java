package io.nutmegseam.node.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.RecordSchemas;

/** Writes the record of a backend server as JSON in the newest schema version. */
final class BackendServerJson {
  private BackendServerJson() {}

  static String withDraining(BackendServerRecord server, boolean draining) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("schemaVersion", RecordSchemas.NEWEST_VERSION);
    node.put("kind", server.kind().wireName());
    node.put("name", server.name());
    node.put("address", server.address());
    node.put("dataCentre", server.dataCentre());
    node.put("vm", server.vm());
    node.put("service", server.service());
    node.put("memoryBytes", server.memoryBytes());
    node.put("accelerators", server.accelerators());
    node.put("tokensPerSecond", server.tokensPerSecond());
    node.put("checksFencing", server.checksFencing());
    node.put("draining", draining);
    return node.toString();
  }
}
