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
 * Base addresses of the processes of a measured deployment.
 *
 * @param platform base address of the platform stand-in
 * @param callers base addresses of the caller APIs of the nodes, by node index
 * @param operators base addresses of the operator APIs of the nodes, by node index
 * @param engines base addresses of the engine stand-ins, by engine index
 */
public record DeploymentPlan(
    String platform, List<String> callers, List<String> operators, List<String> engines) {
  private static final String PLAN_FILE = "plan.json";

  /** Reads the plan from {@code plan.json} in a folder. */
  public static DeploymentPlan read(Path folder) throws IOException {
    return HttpExchange.JSON.readValue(
        Files.readString(folder.resolve(PLAN_FILE)), DeploymentPlan.class);
  }

  /**
   * Chooses free ports and writes the files of a deployment: the settings of the stand-ins and of
   * the nodes, the records and the plan.
   *
   * @param deployment sizes of the deployment
   * @param naive whether the policy record selects the naive baseline policy
   * @param seed seed of the random choice of cached models
   * @param folder folder that the files are written to
   */
  public static void write(Deployment deployment, boolean naive, long seed, Path folder)
      throws IOException {
    int portCount = 1 + deployment.engines() + deployment.serviceServers() + 3 * deployment.nodes();
    List<Integer> ports = FreePorts.find(portCount);
    int next = 0;
    final int platformPort = ports.get(next++);
    List<Integer> enginePorts = ports.subList(next, next += deployment.engines());
    List<Integer> servicePorts = ports.subList(next, next += deployment.serviceServers());
    List<Integer> nodePorts = ports.subList(next, portCount);
    DeploymentPlan plan =
        new DeploymentPlan(
            address(platformPort),
            addresses(nodePorts, 0),
            addresses(nodePorts, 1),
            enginePorts.stream().map(DeploymentPlan::address).toList());
    writeJson(folder.resolve(PLAN_FILE), HttpExchange.JSON.valueToTree(plan));
    ObjectNode platform = createObject();
    platform.put("platformPort", platformPort);
    platform.put("loadsPerSecond", deployment.loadsPerSecond());
    writeJson(folder.resolve("platform.json"), platform);
    writeJson(
        folder.resolve("backends.json"),
        backendSettings(deployment, seed, address(platformPort), enginePorts, servicePorts));
    writeJson(
        folder.resolve("records.json"),
        new PlannedRecords(deployment, naive).build(enginePorts, servicePorts));
    for (int i = 0; i < deployment.nodes(); i++) {
      writeJson(
          folder.resolve("node-" + i + ".json"),
          nodeSettings(deployment, i, nodePorts.subList(3 * i, 3 * i + 3), address(platformPort)));
    }
  }

  private static ObjectNode backendSettings(
      Deployment deployment,
      long seed,
      String platformAddress,
      List<Integer> enginePorts,
      List<Integer> servicePorts) {
    ObjectNode backends = createObject();
    backends.put("platformAddress", platformAddress);
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

  private static ObjectNode nodeSettings(
      Deployment deployment, int index, List<Integer> ports, String platformAddress) {
    ObjectNode node = createObject();
    node.put("node", "node-" + index);
    node.put("vm", "vm-node-" + index);
    node.put("dataCentre", deployment.dataCentre(index));
    node.put("callerAddress", "127.0.0.1:" + ports.get(0));
    node.put("operatorAddress", "127.0.0.1:" + ports.get(1));
    node.put("peerAddress", "127.0.0.1:" + ports.get(2));
    node.put("platformAddress", platformAddress);
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

  private static ObjectNode createObject() {
    return HttpExchange.JSON.createObjectNode();
  }

  private static void writeJson(Path file, com.fasterxml.jackson.databind.JsonNode node)
      throws IOException {
    Files.writeString(file, node.toPrettyString());
  }
}
