package io.nutmegseam.standin.measure;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.standin.http.FreePorts;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Where the processes of a measured deployment listen.
 *
 * @param platform base address of the platform
 * @param callers base addresses of the nodes for callers
 * @param operators base addresses of the nodes for operators
 * @param engines base addresses of the engines
 */
public record Plan(
    String platform, List<String> callers, List<String> operators, List<String> engines) {
  private static final String FILE = "plan.json";

  /** Reads the plan of a folder. */
  public static Plan read(Path folder) throws IOException {
    return HttpExchange.JSON.readValue(Files.readString(folder.resolve(FILE)), Plan.class);
  }

  /**
   * Writes the files of a deployment: settings of stand-ins and nodes, records, and the plan.
   *
   * @param deployment the sizes
   * @param naive whether the naive baseline policy is chosen
   * @param seed seed of what is uneven
   * @param folder receives the files
   */
  public static void write(Deployment deployment, boolean naive, long seed, Path folder)
      throws IOException {
    int count = 1 + deployment.engines() + deployment.services() + 3 * deployment.nodes();
    List<Integer> ports = FreePorts.find(count);
    int next = 0;
    final int platformPort = ports.get(next++);
    List<Integer> enginePorts = ports.subList(next, next += deployment.engines());
    List<Integer> servicePorts = ports.subList(next, next += deployment.services());
    List<Integer> nodePorts = ports.subList(next, count);
    Plan plan =
        new Plan(
            address(platformPort),
            addresses(nodePorts, 0),
            addresses(nodePorts, 1),
            enginePorts.stream().map(Plan::address).toList());
    writeJson(folder.resolve(FILE), HttpExchange.JSON.valueToTree(plan));
    ObjectNode platform = object();
    platform.put("platformPort", platformPort);
    platform.put("loadsPerSecond", deployment.loadsPerSecond());
    writeJson(folder.resolve("platform.json"), platform);
    writeJson(
        folder.resolve("backends.json"),
        backends(deployment, seed, address(platformPort), enginePorts, servicePorts));
    writeJson(
        folder.resolve("records.json"),
        new PlannedRecords(deployment, naive).records(enginePorts, servicePorts));
    for (int i = 0; i < deployment.nodes(); i++) {
      writeJson(
          folder.resolve("node-" + i + ".json"),
          node(deployment, i, nodePorts.subList(3 * i, 3 * i + 3), address(platformPort)));
    }
  }

  private static ObjectNode backends(
      Deployment deployment,
      long seed,
      String platform,
      List<Integer> enginePorts,
      List<Integer> servicePorts) {
    ObjectNode backends = object();
    backends.put("platformAddress", platform);
    ArrayNode engines = backends.putArray("engines");
    for (int i = 0; i < enginePorts.size(); i++) {
      ObjectNode engine = engines.addObject();
      engine.put("name", "engine-" + i);
      engine.put("port", enginePorts.get(i));
      engine.put("memoryBytes", deployment.engineBytes(i));
      engine.put("accelerators", 1);
      engine.put("tokensPerSecond", deployment.engineTokensPerSecond(i));
      engine.put("checksFencing", i % 2 == 0);
      engine.put("diskLoadMillis", 400);
      ArrayNode cached = engine.putArray("cachedUnits");
      deployment.cachedModels(i, seed).forEach(cached::add);
    }
    ArrayNode services = backends.putArray("services");
    servicePorts.forEach(port -> services.addObject().put("port", port));
    return backends;
  }

  private static ObjectNode node(
      Deployment deployment, int index, List<Integer> ports, String platform) {
    ObjectNode node = object();
    node.put("node", "node-" + index);
    node.put("vm", "vm-node-" + index);
    node.put("dataCentre", deployment.dataCentre(index));
    node.put("callerAddress", "127.0.0.1:" + ports.get(0));
    node.put("operatorAddress", "127.0.0.1:" + ports.get(1));
    node.put("peerAddress", "127.0.0.1:" + ports.get(2));
    node.put("platformAddress", platform);
    node.put("clusterToken", "measure");
    return node;
  }

  private static List<String> addresses(List<Integer> nodePorts, int offset) {
    List<String> addresses = new ArrayList<>();
    for (int i = offset; i < nodePorts.size(); i += 3) {
      addresses.add(address(nodePorts.get(i)));
    }
    return addresses;
  }

  private static String address(int port) {
    return "http://127.0.0.1:" + port;
  }

  private static ObjectNode object() {
    return HttpExchange.JSON.createObjectNode();
  }

  private static void writeJson(Path file, com.fasterxml.jackson.databind.JsonNode node)
      throws IOException {
    Files.writeString(file, node.toPrettyString());
  }
}
