package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against truncated or mixed streams under faults that are drawn from a seed: servers of two
 * software versions break off and spoil responses, and callers resume streams at other nodes. More
 * seeds: {@code mvn -pl core,node verify -Dtest=StreamSoakTest -Dstreams.seed=N -Dstreams.seeds=K}.
 */
class StreamSoakTest {
  private static final long FIRST_SEED = Long.getLong("streams.seed", 1);
  private static final int SEEDS = Integer.getInteger("streams.seeds", 3);
  private static final int STREAMS = 400;
  private static final int CALLERS = 8;
  private static final int MAX_TRIES = 4;
  private static final int READ_TIMEOUT_MILLIS = 5_000;
  private static final List<String> NODES = List.of("n1", "n2", "n3");

  /** What a caller has received of a stream over its tries. */
  private static final class Received {
    private final StringBuilder events = new StringBuilder();
    private boolean complete;

    private int lastEvent() {
      int index = events.lastIndexOf("id: ");
      return index < 0
          ? 0
          : Integer.parseInt(events.substring(index + 4, events.indexOf("\n", index)));
    }
  }

  @Test
  void should_deliver_whole_streams_of_one_version_or_say_that_they_are_not_whole()
      throws Exception {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      run(seed);
    }
  }

  private static void run(long seed) throws Exception {
    try (FaultyStreamServer one = new FaultyStreamServer("a", "v1", seed);
        FaultyStreamServer two = new FaultyStreamServer("b", "v1", seed);
        FaultyStreamServer three = new FaultyStreamServer("c", "v1.1", seed);
        FaultyStreamServer four = new FaultyStreamServer("d", "v1.1", seed);
        TestCluster cluster =
            new TestCluster(
                List.of(one.entry("s"), two.entry("s"), three.entry("s"), four.entry("s")))) {
      for (String node : NODES) {
        cluster.start(node);
      }
      AtomicInteger warmUp = new AtomicInteger();
      await().until(() -> isResumed(cluster, "warm-up-" + seed + "-" + warmUp.incrementAndGet()));
      AtomicInteger complete = new AtomicInteger();
      AtomicInteger resumed = new AtomicInteger();
      ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
      List<Future<?>> streams = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        String id = "s" + seed + "-" + i;
        streams.add(
            callers.submit(
                () -> {
                  Received received =
                      receive(cluster, id, new Random(seed * STREAMS + id.hashCode()));
                  check(id, received);
                  complete.addAndGet(received.complete ? 1 : 0);
                  resumed.addAndGet(received.lastEvent() > 0 && received.complete ? 1 : 0);
                  return null;
                }));
      }
      callers.shutdown();
      for (Future<?> stream : streams) {
        stream.get(60, TimeUnit.SECONDS);
      }
      assertThat(complete.get()).as("complete streams, seed %d", seed).isGreaterThan(STREAMS / 4);
      System.out.printf("streams: seed %d, %d of %d complete%n", seed, complete.get(), STREAMS);
    }
  }

  /** Returns whether a stream could be resumed at another node, so that the nodes are connected. */
  private static boolean isResumed(TestCluster cluster, String id) throws IOException {
    Received received = new Received();
    request(cluster.connect("n1"), "id: " + id, received);
    if (received.lastEvent() == 0 || received.complete) {
      return false;
    }
    int before = received.lastEvent();
    request(cluster.connect("n3"), resumption(id, 2, before), received);
    return received.lastEvent() > before;
  }

  private static Received receive(TestCluster cluster, String id, Random random)
      throws IOException {
    Received received = new Received();
    for (int attempt = 1; attempt <= MAX_TRIES && !received.complete; attempt++) {
      String node = NODES.get(random.nextInt(NODES.size()));
      int last = received.lastEvent();
      String headers = last == 0 ? "id: " + id : resumption(id, attempt, last);
      if (last == 0 && attempt > 1) {
        // The stream has not begun: the caller begins another one.
        return received;
      }
      request(cluster.connect(node), headers, received);
    }
    return received;
  }

  private static String resumption(String id, int attempt, int lastEvent) {
    return "id: %s-%d\r\nresumes: %s\r\nlast: %d".formatted(id, attempt, id, lastEvent);
  }

  /** Sends a request and adds the events of its response. */
  private static void request(Socket connection, String headers, Received received)
      throws IOException {
    try (Socket socket = connection) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String text = "POST /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers;
      socket.getOutputStream().write((text + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
      String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      if (response.startsWith("HTTP/1.1 200")) {
        received.complete = response.endsWith("0\r\n\r\n");
        received.events.append(decodeChunks(response));
      }
    }
  }

  private static String decodeChunks(String response) {
    StringBuilder body = new StringBuilder();
    int position = response.indexOf("\r\n\r\n") + 4;
    while (position < response.length()) {
      int lineEnd = response.indexOf("\r\n", position);
      if (lineEnd < 0) {
        break;
      }
      int size = Integer.parseInt(response.substring(position, lineEnd), 16);
      int end = Math.min(response.length(), lineEnd + 2 + size);
      body.append(response, lineEnd + 2, end);
      position = end + 2;
    }
    return body.toString();
  }

  /** Checks that the events are the first ones of the stream, all of one version. */
  private static void check(String id, Received received) {
    String events = received.events.toString();
    String version = events.contains("v1.1 of") ? "v1.1" : "v1";
    StringBuilder expected = new StringBuilder();
    int count = received.complete ? FaultyStreamServer.eventCount(id) : received.lastEvent();
    for (int i = 1; i <= count; i++) {
      expected.append(FaultyStreamServer.event(id, version, i));
    }
    assertThat(events).as(id).isEqualTo(expected.toString());
  }
}
