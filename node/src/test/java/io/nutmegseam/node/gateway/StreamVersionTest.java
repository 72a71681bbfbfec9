package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceShare;
import io.nutmegseam.node.gateway.StubServer.ConnectionAction;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams with events of two software versions of a service, which servers cannot
 * detect.
 */
class StreamVersionTest {
  private static final int STREAMS = 20;
  private static final int QUEUED = 4;

  /** Longer than the target latency of the route, and shorter than its timeout. */
  private static final long QUEUE_MILLIS = 500;

  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nid: {id}\r\nreceipt: r\r\nContent-Type: text/event-stream\r\n";
  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final String TRUNCATED = STREAM + "\r\n" + FIRST_EVENT + "id: 2\nda";
  private static final String REST =
      STREAM + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

  /** A node resumes a stream that a server has broken off. */
  @Nested
  class ResumedByNode {
    @Test
    void should_resume_a_stream_only_at_the_version_that_began_it() throws Exception {
      try (StubServer one = server("a", "v1");
          StubServer same = server("b", "v1");
          StubServer newer = server("c", "v1.1");
          TestGateway gateway = new TestGateway()) {
        // GIVEN
        configure(gateway, one, same, newer);
        // WHEN
        int completed = 0;
        for (int i = 0; i < STREAMS; i++) {
          String received = gateway.call("POST", "r" + i, "");
          completed += TestGateway.isComplete(received) ? 1 : 0;
        }
        // THEN
        assertThat(streamsOverTwoVersions(one, same, newer)).isEmpty();
        assertThat(completed).isPositive();
      }
    }

    @Test
    void should_abort_a_stream_if_no_other_server_has_its_version() throws Exception {
      try (StubServer older = server("a", "v1");
          StubServer newer = server("b", "v1.1");
          TestGateway gateway = new TestGateway()) {
        configure(gateway, older, newer);
        String received = gateway.call("POST", "1", "");
        assertThat(received).contains("id: 1").doesNotContain("(no end)");
        assertThat(TestGateway.isComplete(received)).as(received).isFalse();
        assertThat(streamsOverTwoVersions(older, newer)).isEmpty();
      }
    }
  }

  /**
   * A server starts again under its id and at its address with another version, and gets a request
   * before the node has read its new entry.
   */
  @Nested
  class RestartedServer {
    private StubServer restarted;

    // Guards against streams of a restarted server that go on at the version it had before.
    @Test
    void should_not_resume_a_stream_at_the_version_of_an_earlier_start() throws Exception {
      try (TestGateway gateway = new TestGateway();
          StubServer older = server("b", "v1")) {
        // GIVEN
        restarted =
            new StubServer("a", head -> listRestarted(gateway, older), ConnectionAction.CLOSE);
        gateway.configureEntries(
            TestGateway.route(RequestKind.STREAMING, true), List.of(restarted.entry("s")));
        restarted.withSoftwareVersion("v1.1");
        // WHEN
        String received = gateway.call("POST", "1", "");
        // THEN
        assertThat(received).contains("id: 1").doesNotContain("(no end)");
        assertThat(streamsOverTwoVersions(restarted, older)).isEmpty();
      } finally {
        restarted.close();
      }
    }

    // Guards against callers that resume a stream of a restarted server at its earlier version.
    @Test
    void should_not_tell_callers_the_version_of_an_earlier_start() throws Exception {
      try (TestGateway gateway = new TestGateway();
          StubServer older = server("b", "v1")) {
        // GIVEN a stream that has begun after the restart and after the new entry was read
        restarted =
            new StubServer(
                "a",
                head -> {
                  listRestarted(gateway, older);
                  return STREAM + "\r\n" + FIRST_EVENT;
                },
                ConnectionAction.KEEP);
        gateway.configureEntries(
            TestGateway.route(RequestKind.STREAMING, true), List.of(restarted.entry("s")));
        restarted.withSoftwareVersion("v1.1");
        try (Socket begun = gateway.connect()) {
          ResumedByCaller.send(begun, "id: r");
          ResumedByCaller.readUntil(begun, "data: a\n\n");
        }
        // WHEN
        try (Socket resumed = gateway.connect()) {
          ResumedByCaller.send(resumed, "id: again\r\nresumes: r\r\nlast: 1");
          String answer = ResumedByCaller.readUntil(resumed, "\r\n\r\n");
          // THEN
          assertThat(answer).startsWith("HTTP/1.1 503");
        }
        assertThat(streamsOverTwoVersions(restarted, older)).isEmpty();
      } finally {
        restarted.close();
      }
    }

    private String listRestarted(TestGateway gateway, StubServer older) {
      ServerEntry entry = restarted.entry("s", 2);
      gateway.state().setFleet(new Fleet(Map.of("a", entry, "b", older.entry("s"))));
      return TRUNCATED;
    }
  }

  /** A caller resumes a stream at another node, after its connection has failed. */
  @Nested
  class ResumedByCaller {
    /** The test is about versions; no request is to be sent again because of the time it takes. */
    private static final int TIMEOUT_MILLIS = 10_000;

    @Test
    void should_resume_a_stream_at_another_node_only_at_its_version() throws Exception {
      try (StubServer older = new StubServer("a", this::unfinished, ConnectionAction.KEEP);
          StubServer newer =
              new StubServer("b", this::unfinished, ConnectionAction.KEEP)
                  .withSoftwareVersion("v1.1");
          TestCluster cluster =
              new TestCluster(route(), List.of(older.entry("s"), newer.entry("s")))
                  .start("n1")
                  .start("n2")) {
        // GIVEN two nodes that know each other
        await().until(() -> resumes(cluster, "warm-up" + System.nanoTime()));
        // WHEN
        int resumed = 0;
        for (int i = 0; i < STREAMS; i++) {
          resumed += resumes(cluster, "r" + i) ? 1 : 0;
        }
        // THEN
        assertThat(streamsOverTwoVersions(older, newer)).isEmpty();
        assertThat(resumed).isEqualTo(STREAMS);
      }
    }

    /** The first event has been in time; a refusal would waste what the server has generated. */
    @Test
    void should_go_on_at_a_busy_server_that_gets_no_new_streams() throws Exception {
      try (StubServer server =
              new StubServer("a", this::unfinishedOrSilent, ConnectionAction.KEEP);
          TestGateway gateway = new TestGateway()) {
        // GIVEN a stream that has begun, and a queue at its server
        configure(gateway, server);
        try (Socket begun = gateway.connect()) {
          send(begun, "id: r");
          readUntil(begun, "data: a\n\n");
        }
        List<Socket> queue = new ArrayList<>();
        for (int i = 0; i < QUEUED; i++) {
          queue.add(gateway.connect());
          send(queue.get(i), "id: silent" + i);
        }
        Thread.sleep(QUEUE_MILLIS);
        // WHEN
        String begins = gateway.call("POST", "new", "");
        String goesOn;
        try (Socket resumed = gateway.connect()) {
          send(resumed, "id: again\r\nresumes: r\r\nlast: 1");
          goesOn = readUntil(resumed, "0\r\n\r\n");
        }
        // THEN
        assertThat(begins).startsWith("HTTP/1.1 429");
        assertThat(goesOn).startsWith("HTTP/1.1 200").contains("data: b");
        for (Socket socket : queue) {
          socket.close();
        }
      }
    }

    private static Route route() {
      return new Route(
          "r",
          "h",
          "/p/",
          RequestKind.STREAMING,
          true,
          TIMEOUT_MILLIS,
          TIMEOUT_MILLIS,
          TIMEOUT_MILLIS,
          0,
          2,
          List.of(new ServiceShare("s", 1)));
    }

    private String unfinishedOrSilent(String head) {
      return StubServer.header(head, "id").startsWith("silent") ? "" : unfinished(head);
    }

    private String unfinished(String head) {
      return isResumed(head) ? REST : STREAM + "\r\n" + FIRST_EVENT;
    }

    /** Begins a stream at the first node and resumes it at the second one. */
    private boolean resumes(TestCluster cluster, String id) throws IOException {
      try (Socket begun = cluster.connect("n1")) {
        send(begun, "id: " + id);
        assertThat(readUntil(begun, "data: a\n\n")).startsWith("HTTP/1.1 200");
      }
      try (Socket resumed = cluster.connect("n2")) {
        send(resumed, "id: again-%s\r\nresumes: %s\r\nlast: 1".formatted(id, id));
        return readUntil(resumed, "0\r\n\r\n").contains("data: b");
      }
    }

    private static void send(Socket socket, String headers) throws IOException {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      String text = "POST /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers;
      socket.getOutputStream().write((text + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
    }

    private static String readUntil(Socket socket, String end) throws IOException {
      StringBuilder received = new StringBuilder();
      int next = socket.getInputStream().read();
      while (next >= 0) {
        received.append((char) next);
        if (received.indexOf(end) >= 0) {
          break;
        }
        next = socket.getInputStream().read();
      }
      return received.toString();
    }
  }

  /** Breaks off each stream after its first event, and completes each stream that is resumed. */
  private static String response(String head) {
    return isResumed(head) ? REST : TRUNCATED;
  }

  private static StubServer server(String id, String version) throws IOException {
    return new StubServer(id, StreamVersionTest::response, ConnectionAction.CLOSE)
        .withSoftwareVersion(version);
  }

  private static void configure(TestGateway gateway, StubServer... servers) {
    gateway.configure(TestGateway.route(RequestKind.STREAMING, true), Optional.empty(), servers);
  }

  /** Returns the resumed streams that a server of another version began. */
  private static List<String> streamsOverTwoVersions(StubServer... servers) {
    return Arrays.stream(servers)
        .flatMap(server -> server.requestHeads().stream().filter(StreamVersionTest::isResumed))
        .map(StreamVersionTest::streamId)
        .filter(id -> versions(id, servers) > 1)
        .toList();
  }

  private static long versions(String streamId, StubServer... servers) {
    return Arrays.stream(servers)
        .filter(
            server -> server.requestHeads().stream().anyMatch(h -> streamId(h).equals(streamId)))
        .map(server -> server.entry("s").softwareVersion())
        .distinct()
        .count();
  }

  private static boolean isResumed(String head) {
    return !StubServer.header(head, "last").isEmpty();
  }

  private static String streamId(String head) {
    String resumes = StubServer.header(head, "resumes");
    return resumes.isEmpty() ? StubServer.header(head, "id") : resumes;
  }
}
