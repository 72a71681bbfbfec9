package io.nutmegseam.standin.process;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.standin.engine.EngineProfile;
import io.nutmegseam.standin.engine.EngineStandin;
import io.nutmegseam.standin.http.FreePorts;
import io.nutmegseam.standin.platform.PlatformStandin;
import io.nutmegseam.standin.platform.WeightStore;
import io.nutmegseam.standin.service.ServiceStandin;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** A cluster for tests: the stand-ins run in this process, each node in a process of its own. */
final class Cluster implements AutoCloseable {
  static final long GIBIBYTE = 1L << 30;
  static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final MediaType JSON = MediaType.get("application/json");
  private static final long SERVICE_WORK_MILLIS = 50;

  private final Path folder;
  private final PlatformStandin platform;
  private final Map<String, EngineStandin> engines = new LinkedHashMap<>();
  private final Map<String, ServiceStandin> services = new LinkedHashMap<>();
  private final Map<String, NodeProcess> nodes = new LinkedHashMap<>();
  private final Map<String, TcpFaultProxy> platformProxies = new LinkedHashMap<>();
  private final Map<String, TcpFaultProxy> peerProxies = new LinkedHashMap<>();
  private final List<String> records = new ArrayList<>();
  private final InvariantMonitor invariants;
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(60, TimeUnit.SECONDS)
          .build();

  Cluster() {
    try {
      this.folder = Files.createTempDirectory("nutmegseam-test");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
    this.platform = new PlatformStandin(0, new WeightStore(10, 4, 32, 8));
    this.invariants = new InvariantMonitor(engines);
  }

  Cluster dataCentre(String name) {
    records.add("{'schemaVersion':2,'kind':'DataCentre','name':'%s','region':'r'}".formatted(name));
    return this;
  }

  Cluster engine(String name, String dataCentre, int memoryGib, boolean fencing) {
    EngineProfile profile =
        new EngineProfile(name, memoryGib * GIBIBYTE, 1, 200, fencing, Set.of(), 100, 100, 1_500);
    EngineStandin engine =
        new EngineStandin(0, profile, platform.weights()::fetch, Clock.systemUTC());
    engines.put(name, engine);
    records.add(
        ("{'schemaVersion':1,'kind':'BackendServer','name':'%s','address':'%s','dataCentre':'%s',"
                + "'vm':'vm-%s','memoryGib':%d,'tokensPerSecond':200,'checksFencing':%s}")
            .formatted(name, engine.address(), dataCentre, name, memoryGib, fencing));
    return this;
  }

  Cluster service(String server, String service, String dataCentre) {
    ServiceStandin standin = new ServiceStandin(0, SERVICE_WORK_MILLIS);
    services.put(server, standin);
    records.add(
        ("{'schemaVersion':2,'kind':'Service','name':'%s','calls':["
                + "{'path':'/look','idempotent':true,'timeoutMillis':8000},"
                + "{'path':'/pay','idempotent':false,'timeoutMillis':8000}]}")
            .formatted(service));
    records.add(
        ("{'schemaVersion':2,'kind':'BackendServer','name':'%s','address':'%s','dataCentre':'%s',"
                + "'vm':'vm-%s','service':'%s'}")
            .formatted(server, standin.address(), dataCentre, server, service));
    return this;
  }

  Cluster model(String name, int memoryGib, int replicas) {
    invariants.setReplicaLimit(name, replicas);
    records.add(
        ("{'schemaVersion':2,'kind':'Model','name':'%s','memoryBytes':%d,'maxReplicas':%d,"
                + "'loadMillis':500}")
            .formatted(name, memoryGib * GIBIBYTE, replicas));
    return this;
  }

  Cluster record(String text) {
    records.add(text);
    return this;
  }

  Cluster node(String name, String dataCentre, String... seeds) {
    try {
      List<Integer> ports = FreePorts.find(3);
      TcpFaultProxy platformProxy =
          new TcpFaultProxy(Integer.parseInt(platform.address().replaceAll(".*:", "")));
      TcpFaultProxy peerProxy = new TcpFaultProxy(ports.get(2));
      platformProxies.put(name, platformProxy);
      peerProxies.put(name, peerProxy);
      List<String> addresses = new ArrayList<>();
      for (String seed : seeds) {
        addresses.add("'127.0.0.1:" + nodes.get(seed).peerPort() + "'");
      }
      String settings =
          ("{'node':'%s','vm':'vm-%s','dataCentre':'%s','callerAddress':'127.0.0.1:%d',"
                  + "'operatorAddress':'127.0.0.1:%d','peerAddress':'127.0.0.1:%d',"
                  + "'peerAdvertisedAddress':'127.0.0.1:%d',"
                  + "'platformAddress':'http://127.0.0.1:%d','clusterToken':'t','peerSeeds':%s,"
                  + "'leaseMillis':1500,'renewMillis':300,'pollMillis':200,'settleMillis':1200,"
                  + "'orderTimeoutMillis':800,'platformTimeoutMillis':800,'reportMillis':200}")
              .formatted(
                  name,
                  name,
                  dataCentre,
                  ports.get(0),
                  ports.get(1),
                  ports.get(2),
                  peerProxy.port(),
                  platformProxy.port(),
                  addresses);
      Path file = folder.resolve(name + ".json");
      Files.writeString(file, settings.replace('\'', '"'));
      nodes.put(
          name,
          new NodeProcess(
              name, file, folder.resolve(name + ".log"), ports.get(0), ports.get(1), ports.get(2)));
      return this;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Starts the nodes, applies the records and waits until every node reports all engines as
   * reachable, at least as many placements as models, and connections to all nodes.
   */
  Cluster start() {
    try {
      startAll();
      return this;
    } catch (RuntimeException | Error e) {
      close();
      throw e;
    }
  }

  private void startAll() {
    nodes.values().forEach(NodeProcess::start);
    nodes.keySet().forEach(this::awaitReady);
    apply("[" + String.join(",", records) + "]");
    nodes.keySet().forEach(this::awaitSettled);
    invariants.start();
  }

  /**
   * Waits until a node reports every engine as reachable, at least as many placements as models,
   * and every node as connected.
   */
  private void awaitSettled(String node) {
    awaitThat(
        () -> {
          long reachable = 0;
          for (JsonNode server : status(node).path("servers")) {
            boolean engine = engines.containsKey(server.path("server").asText());
            reachable += engine && server.path("reachable").asBoolean() ? 1 : 0;
          }
          return reachable == engines.size();
        });
    awaitThat(() -> getOperatorJson(node, "/v1/placements").size() >= invariants.modelCount());
    awaitThat(
        () -> {
          long connected = 0;
          for (JsonNode other : status(node).path("nodes")) {
            connected += other.path("connected").asBoolean() ? 1 : 0;
          }
          return connected == nodes.size();
        });
  }

  void awaitReady(String node) {
    awaitThat(() -> get(nodes.get(node).operatorUrl() + "/readyz").status() == 200);
  }

  static void awaitThat(Callable<Boolean> condition) {
    await().atMost(TIMEOUT).pollInterval(Duration.ofMillis(50)).ignoreExceptions().until(condition);
  }

  PlatformStandin platform() {
    return platform;
  }

  EngineStandin engine(String name) {
    return engines.get(name);
  }

  ServiceStandin service(String server) {
    return services.get(server);
  }

  NodeProcess node(String name) {
    return nodes.get(name);
  }

  TcpFaultProxy platformProxy(String node) {
    return platformProxies.get(node);
  }

  TcpFaultProxy peerProxy(String node) {
    return peerProxies.get(node);
  }

  InvariantMonitor invariants() {
    return invariants;
  }

  JsonNode status(String node) {
    return getOperatorJson(node, "/v1/status");
  }

  JsonNode getOperatorJson(String node, String path) {
    return get(nodes.get(node).operatorUrl() + path).json();
  }

  long revision(String node) {
    return getOperatorJson(node, "/v1/revision").path("revision").asLong();
  }

  String owner(String viaNode, String server) {
    for (JsonNode row : status(viaNode).path("servers")) {
      if (row.path("server").asText().equals(server)) {
        return row.path("owner").asText();
      }
    }
    return "";
  }

  ApiResponse apply(String text) {
    return apply(nodes.keySet().iterator().next(), text);
  }

  ApiResponse apply(String node, String text) {
    return post(nodes.get(node).operatorUrl() + "/v1/records", text.replace('\'', '"'), Map.of());
  }

  ApiResponse chat(String node, String model, String prompt, Map<String, String> headers) {
    return chat(node, model, prompt, 20, headers);
  }

  ApiResponse chat(
      String node, String model, String prompt, int tokens, Map<String, String> headers) {
    String body =
        "{'model':'%s','max_tokens':%d,'messages':[{'role':'user','content':'%s'}]}"
            .formatted(model, tokens, prompt)
            .replace('\'', '"');
    return post(nodes.get(node).callerUrl() + "/v1/chat/completions", body, headers);
  }

  ApiResponse pay(String node, String key, String body) {
    return post(
        nodes.get(node).callerUrl() + "/v1/services/payments/pay",
        body,
        Map.of("Idempotency-Key", key));
  }

  ApiResponse get(String url) {
    return call(new Request.Builder().url(url).build());
  }

  ApiResponse post(String url, String body, Map<String, String> headers) {
    Request.Builder request = new Request.Builder().url(url).post(RequestBody.create(body, JSON));
    headers.forEach(request::header);
    return call(request.build());
  }

  private ApiResponse call(Request request) {
    long startedNanos = System.nanoTime();
    try (Response response = client.newCall(request).execute()) {
      String body = response.body().string();
      return new ApiResponse(
          response.code(),
          body,
          response.header("Retry-After", ""),
          elapsedMillisSince(startedNanos));
    } catch (IOException e) {
      return new ApiResponse(0, "{}", "", elapsedMillisSince(startedNanos));
    }
  }

  private static long elapsedMillisSince(long startedNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
  }

  /** Returns the complete text that an engine stand-in generates for a chat prompt. */
  static String expectedCompletion(String prompt, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      text.append(Integer.toHexString(prompt.hashCode())).append('-').append(i).append(' ');
    }
    return text.toString();
  }

  @Override
  public void close() {
    invariants.stop();
    for (NodeProcess node : nodes.values()) {
      node.kill();
    }
    engines.values().forEach(EngineStandin::close);
    services.values().forEach(ServiceStandin::close);
    platform.close();
    try {
      for (TcpFaultProxy proxy : platformProxies.values()) {
        proxy.close();
      }
      for (TcpFaultProxy proxy : peerProxies.values()) {
        proxy.close();
      }
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
