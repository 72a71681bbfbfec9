import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two model servers whose adapter places are all in use; then callers ask for adapters that no
 * server has. LIMIT holds if no server is ordered to load more adapters than it has places for.
 */
public final class AdapterCase {
  private static final int SLOTS = 8;
  private static final int SERVERS = 2;
  private static final int LONG_EVENTS = 30;
  private static final int SHORT_EVENTS = 8;
  private static final long DEADLINE_MILLIS = 17_000;
  private static final long CALM_MILLIS = 9_000;
  private static final long TROUBLE_MILLIS = 12_000;

  private AdapterCase() {}

  /** Arguments: root of the repository, folder of the case, whether there is trouble. */
  public static void main(String[] args) throws Exception {
    int status = 2;
    Path folder = Files.createTempDirectory("nutmegseam-review");
    try (Record record = new Record(Path.of(args[1]).resolve("record.txt"))) {
      try {
        status = run(Path.of(args[0]), folder, record, args[2].equals("1"));
      } catch (Exception e) {
        record.add("the case could not run: " + e);
      }
      record.add("exit status " + status);
    }
    System.out.println("exit status " + status);
    System.exit(status);
  }

  private static int run(Path root, Path folder, Record record, boolean trouble) throws Exception {
    StoreStandin store = new StoreStandin();
    store.put("op", "config", config());
    List<ModelServer> servers = new ArrayList<>();
    for (int s = 0; s < SERVERS; s++) {
      Set<String> adapters = new TreeSet<>();
      for (int a = 1; a <= SLOTS; a++) {
        adapters.add("a" + (s * SLOTS + a));
      }
      servers.add(new ModelServer("i-" + s, "m0", adapters, SLOTS, store, record));
    }
    try (Gateways gateways = new Gateways(root, folder, store.port())) {
      gateways.start("n1", "dc-a");
      gateways.start("n2", "dc-a");
      if (!gateways.awaitReady()) {
        record.add("the gateways are not ready");
        return 2;
      }
      return play(gateways, servers, record, trouble);
    }
  }

  private static int play(
      Gateways gateways, List<ModelServer> servers, Record record, boolean trouble)
      throws Exception {
    Consumers consumers = new Consumers(record);
    AtomicBoolean ended = new AtomicBoolean();
    AtomicInteger answered = new AtomicInteger();
    // Two callers for each adapter, half a stream apart, so that each is in use all the time.
    for (int i = 0; i < 2 * SERVERS * SLOTS; i++) {
      int caller = i;
      start(
          () -> {
            String model = "m0/a" + (1 + caller / 2);
            sleep(400 + (caller % 2) * 3_000 + caller * 40L);
            while (!ended.get()) {
              int port = gateways.all().get(caller % 2).callerPort;
              if (consumers.stream(port, model, LONG_EVENTS, DEADLINE_MILLIS) == 200) {
                answered.incrementAndGet();
              }
              sleep(100);
            }
          });
    }
    sleep(CALM_MILLIS);
    if (answered.get() < SERVERS * SLOTS) {
      record.add("only " + answered + " streams were served before the trouble");
      return 2;
    }
    if (trouble) {
      record.add("trouble: callers ask for four adapters that no server has");
      for (int i = 0; i < 8; i++) {
        int caller = i;
        String model = "m0/a" + (SERVERS * SLOTS + 1 + i / 2);
        int port = gateways.all().get(i % 2).callerPort;
        start(() -> consumers.stream(port, model, SHORT_EVENTS, DEADLINE_MILLIS));
      }
    }
    long untilNanos = System.nanoTime() + TROUBLE_MILLIS * 1_000_000;
    while (System.nanoTime() < untilNanos
        && servers.stream().allMatch(server -> server.violation().isEmpty())) {
      sleep(50);
    }
    sleep(1_000);
    ended.set(true);
    int status = 0;
    for (ModelServer server : servers) {
      if (!server.violation().isEmpty()) {
        record.add(
            "LIMIT broken: %s; %d streams were cut".formatted(server.violation(), server.cutRuns()));
        status = 1;
      }
    }
    return status;
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String config() {
    return """
    {"version": 7,
     "routes": [{"name": "chat", "host": "review.example", "pathPrefix": "/chat/",
       "kind": "streaming", "timeoutMs": 17000, "targetLatencyMs": 2500, "gapTargetMs": 400,
       "priority": 0, "maxAttempts": 1, "sticky": true, "resumable": false, "service": "llm"}],
     "services": [{"name": "llm", "healthPath": "/health", "maxConns": 360, "protocol": "h1",
       "tls": false, "engine": {"slots": 32, "kvCapacity": 232000, "weightsMb": 200000.0,
       "adapterSlots": 8, "loadsPerS": 4.5, "models": [{"name": "m0", "weightsMb": 72700.0,
       "loadS": 6.0, "adapters": 56, "adapterMb": 66.0, "warmS": 0.4, "diskS": 0.84}]}}],
     "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
       "idleTimeoutMs": 15000}}
    """;
  }
}
