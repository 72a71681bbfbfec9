package io.nutmegseam.node.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.allotment.AllotmentRules;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.GatewayLimits;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceShare;
import io.nutmegseam.core.gateway.ServiceSpec;
import io.nutmegseam.core.orders.ModelOrder;
import io.nutmegseam.core.orders.OrderResponse;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.tenant.RevocationRule;
import io.nutmegseam.core.tenant.Tenants;
import io.nutmegseam.node.settings.HostPort;
import io.nutmegseam.node.settings.ReservedPorts;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;

/**
 * Gateway nodes on loopback with one store. Their first configuration has the route of {@link
 * TestGateway}, unless another one is given.
 */
final class TestCluster implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final long GRACE_MILLIS = 1_000;
  private static final String CONFIG_TABLE = "config";
  private static final String CONFIG_KEY = "current";
  private static final String SERVER_TABLE = "servers";

  private final TestRowStore store = new TestRowStore();
  private final Map<String, StorePath> storePathByNode = new HashMap<>();
  private final Map<String, ServerEntry> entryById = new ConcurrentHashMap<>();
  private final Map<String, GatewayConfig> configByRowValue = new ConcurrentHashMap<>();
  private final Map<String, GatewayConfig> keptConfigByNode = new ConcurrentHashMap<>();
  private final BiFunction<String, ServerEntry, ServerEntry> view;
  private final ReservedPorts ports = new ReservedPorts();
  private final Map<String, GatewayDaemon> daemonByNode = new HashMap<>();
  private final Map<String, HostPort> callerAddressByNode = new HashMap<>();
  private long configVersion;
  private Tenants tenants = Tenants.NONE;
  private Optional<RevocationRule> revocation = Optional.empty();

  TestCluster(StubServer... servers) {
    this(Arrays.stream(servers).map(server -> server.entry("s")).toList());
  }

  TestCluster(List<ServerEntry> entries) {
    this(TestGateway.route(RequestKind.STREAMING, true), entries);
  }

  TestCluster(Route route, List<ServerEntry> entries) {
    this(route, entries, (node, entry) -> entry);
  }

  /**
   * Creates a cluster without nodes.
   *
   * @param route the route of the first configuration
   * @param entries entries of the servers
   * @param view returns the entry of a server as a node sees it
   */
  TestCluster(
      Route route, List<ServerEntry> entries, BiFunction<String, ServerEntry, ServerEntry> view) {
    this.view = view;
    putConfig(List.of(route));
    entries.forEach(this::putEntry);
  }

  /** Makes requests need keys, with strict revocation; call before nodes are started. */
  void requireKeys(Tenants next, RevocationRule rule, Route route) {
    tenants = next;
    revocation = Optional.of(rule);
    putConfig(List.of(route));
  }

  /** Returns the store. */
  TestRowStore store() {
    return store;
  }

  /** Returns the path of a node to the store. */
  StorePath storePath(String node) {
    return storePathByNode.get(node);
  }

  /** Replaces the routes, and waits until they are in force at all nodes that take changes. */
  void configure(Route... routes) {
    putConfig(List.of(routes));
    Set.copyOf(daemonByNode.keySet()).stream()
        .filter(node -> !keptConfigByNode.containsKey(node))
        .forEach(node -> await().until(() -> hasRoute(node, markerPath(configVersion))));
  }

  /** Makes a node keep the present configuration, as if it did not see any later one. */
  void keepConfig(String node) {
    keptConfigByNode.put(node, configByRowValue.get(String.valueOf(configVersion)));
  }

  private void putConfig(List<Route> routes) {
    configVersion++;
    List<Route> marked = new ArrayList<>(routes);
    marked.add(markerRoute(configVersion));
    String value = String.valueOf(configVersion);
    configByRowValue.put(
        value,
        new GatewayConfig(
            configVersion,
            marked,
            Map.of(
                "s", new ServiceSpec("s", 10, Optional.empty()),
                "other", new ServiceSpec("other", 10, Optional.empty())),
            new GatewayLimits(8_192, 8_192, 1_000, 5_000),
            tenants));
    store.put(CONFIG_TABLE, CONFIG_KEY, value);
  }

  /** Returns a route to a service without servers, which shows that a version is in force. */
  private static Route markerRoute(long version) {
    return new Route(
        "marker",
        "h",
        markerPath(version),
        RequestKind.IDEMPOTENT,
        false,
        1_000,
        300,
        1_000,
        0,
        2,
        List.of(new ServiceShare("none", 1)));
  }

  private static String markerPath(long version) {
    return "/version-" + version + "/";
  }

  private boolean hasRoute(String node, String path) throws IOException {
    try (Socket socket = connect(node)) {
      socket
          .getOutputStream()
          .write(
              "GET %s HTTP/1.1\r\nHost: h\r\nid: marker\r\nConnection: close\r\n\r\n"
                  .formatted(path)
                  .getBytes(US_ASCII));
      byte[] head = socket.getInputStream().readNBytes("HTTP/1.1 404".length());
      return head.length > 0 && !new String(head, US_ASCII).endsWith("404");
    }
  }

  /** Adds or replaces the entry of a server. */
  void putEntry(ServerEntry entry) {
    entryById.put(entry.incarnation().id(), entry);
    store.put(SERVER_TABLE, entry.incarnation().id(), "{}");
  }

  /** Removes the entry of a server. */
  void removeEntry(String server) {
    store.remove(SERVER_TABLE, server);
  }

  /** Starts a node of the data centre dc, and waits until it is ready. */
  TestCluster start(String node) throws IOException {
    return start(node, "dc");
  }

  /** Starts a node, and waits until it is ready. */
  TestCluster start(String node, String dataCentre) throws IOException {
    return start(node, dataCentre, GRACE_MILLIS);
  }

  /** Starts a node with a grace period for its stop, and waits until it is ready. */
  TestCluster start(String node, String dataCentre, long graceMillis) throws IOException {
    HostPort readyAddress = ports.next();
    HostPort callerAddress = ports.next();
    GatewaySettings settings =
        new GatewaySettings(
            node,
            dataCentre,
            callerAddress,
            readyAddress,
            ports.next(),
            Optional.of(ports.next()),
            ports.next(),
            new HostPort(LOOPBACK, 1),
            graceMillis,
            0,
            0.2,
            50,
            10_000,
            5_000,
            4,
            1,
            revocation,
            AllotmentRules.DEFAULT,
            true);
    StorePath path = new StorePath(store);
    storePathByNode.put(node, path);
    GatewayDaemon daemon =
        new GatewayDaemon(
            settings,
            TestGateway.HEADERS,
            httpClient -> new GatewayDaemon.Platform(path, decoders(node), new NoOrders()));
    daemon.start();
    daemonByNode.put(node, daemon);
    callerAddressByNode.put(node, callerAddress);
    await().until(() -> isReady(readyAddress));
    return this;
  }

  /** Returns the row of the order lease; empty while there is none. */
  String leaseRow() throws Exception {
    return store.get(StoreWatcher.OWN_TABLE, "order-lease").get().map(Row::value).orElse("");
  }

  /** Opens a caller's connection to a node. */
  Socket connect(String node) throws IOException {
    HostPort address = callerAddressByNode.get(node);
    return new Socket(address.host(), address.port());
  }

  /** Stops a node; another one of the same name can be started after that. */
  void stop(String node) {
    GatewayDaemon daemon = daemonByNode.remove(node);
    daemon.stop();
    daemon.close();
  }

  @Override
  public void close() {
    Set.copyOf(daemonByNode.keySet()).forEach(this::stop);
    ports.close();
  }

  private RowDecoders decoders(String node) {
    return new RowDecoders(
        CONFIG_TABLE,
        CONFIG_KEY,
        SERVER_TABLE,
        row ->
            Optional.ofNullable(keptConfigByNode.get(node))
                .orElseGet(() -> configByRowValue.get(row.value())),
        row -> view.apply(node, entryById.get(row.key())));
  }

  private static boolean isReady(HostPort address) {
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.getOutputStream().write("GET / HTTP/1.0\r\n\r\n".getBytes(US_ASCII));
      byte[] head = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      return new String(head, US_ASCII).endsWith("200");
    } catch (IOException e) {
      return false;
    }
  }

  /** The servers of the tests take no orders. */
  private static final class NoOrders implements ServerOrders {
    @Override
    public CompletableFuture<OrderResponse> send(
        ServerEntry server, ModelOrder order, OrderMetadata metadata) {
      return TestRowStore.noServer();
    }

    @Override
    public CompletableFuture<Inventory> fetchInventory(ServerEntry server) {
      return TestRowStore.noServer();
    }
  }
}
