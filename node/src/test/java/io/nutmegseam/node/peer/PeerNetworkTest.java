package io.nutmegseam.node.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.HybridClock;
import io.nutmegseam.node.peer.generated.Heartbeat;
import io.nutmegseam.node.peer.generated.Hello;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.settings.HostPort;
import io.nutmegseam.node.settings.NodeSettings;
import io.nutmegseam.node.settings.ReservedPorts;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerNetworkTest {
  private static final int IDLE_TIMEOUT_SECONDS = 15;
  private static final int MAX_FRAME_BYTES = 4_096;

  private final List<EventKind> events = new CopyOnWriteArrayList<>();
  private final List<PeerFrame> frames = new CopyOnWriteArrayList<>();
  private final ReservedPorts ports = new ReservedPorts();
  private HostPort address;
  private PeerNetwork network;

  @BeforeEach
  void listen() throws IOException {
    address = ports.next();
    network = network("n1", "token");
    network.listen(address);
  }

  @AfterEach
  void close() {
    network.close();
    ports.close();
  }

  @Nested
  class Peers {
    @Test
    void should_exchange_frames_after_the_handshake() {
      try (PeerNetwork other = network("n2", "token")) {
        // GIVEN
        other.connect(address);
        await().until(() -> other.connectedNodes().contains("n1"));
        // WHEN
        Heartbeat heartbeat = Heartbeat.newBuilder().setConfigRevision(7).build();
        other.send("n1", PeerFrame.newBuilder().setHeartbeat(heartbeat));
        // THEN
        await().until(() -> !frames.isEmpty());
        assertThat(frames.get(0).getHeartbeat().getConfigRevision()).isEqualTo(7);
      }
    }

    @Test
    void should_keep_one_connection_after_repeated_connects() throws IOException {
      try (PeerNetwork other = network("n2", "token")) {
        // GIVEN
        other.connect(address);
        await().until(() -> network.connectedNodes().contains("n2"));
        // WHEN
        for (int i = 0; i < 20; i++) {
          other.connect(address);
        }
        // THEN
        assertThat(network.connectedNodes()).containsExactly("n2");
        assertThat(events).doesNotContain(EventKind.PEER_DISCONNECTED);
      }
    }

    @Test
    void should_reject_a_peer_with_a_wrong_token() {
      try (PeerNetwork rejectedPeer = network("n2", "guess")) {
        // WHEN
        rejectedPeer.connect(address);
        // THEN
        await().until(() -> events.contains(EventKind.PEER_REJECTED));
        assertThat(network.connectedNodes()).isEmpty();
      }
    }
  }

  @Nested
  class HostileInput {
    @Test
    void should_reject_a_frame_before_the_handshake() throws IOException {
      // GIVEN
      PeerFrame frame = PeerFrame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();
      // WHEN
      send(out -> frame.writeDelimitedTo(out));
      // THEN
      await().until(() -> events.contains(EventKind.PEER_REJECTED));
      assertThat(frames).isEmpty();
    }

    @Test
    void should_reject_a_frame_over_the_size_limit() throws IOException {
      // GIVEN
      Hello hello = Hello.newBuilder().setNode("x".repeat(3 * MAX_FRAME_BYTES)).build();
      // WHEN
      send(out -> PeerFrame.newBuilder().setHello(hello).build().writeDelimitedTo(out));
      // THEN
      await().until(() -> events.contains(EventKind.PEER_REJECTED));
    }

    @Test
    void should_still_accept_peers_after_random_input() throws IOException {
      // GIVEN
      Random random = new Random(42);
      // WHEN
      for (int i = 0; i < 50; i++) {
        byte[] noise = new byte[1 + random.nextInt(2_000)];
        random.nextBytes(noise);
        send(out -> out.write(noise));
      }
      // THEN
      try (PeerNetwork other = network("n2", "token")) {
        other.connect(address);
        await().until(() -> network.connectedNodes().contains("n2"));
      }
      assertThat(frames).isEmpty();
    }

    private void send(SocketWriter writer) throws IOException {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.port())) {
        writer.write(socket.getOutputStream());
        socket.getOutputStream().flush();
        socket.shutdownOutput();
        socket.getInputStream().readAllBytes();
      } catch (java.net.SocketException e) {
        // The node has reset the connection.
      }
    }
  }

  @Nested
  class Tls {
    @TempDir private Path folder;

    @Test
    void should_connect_only_peers_with_a_certificate_of_the_trusted_authority() throws Exception {
      // GIVEN
      NodeSettings.PeerTls keys = TestKeys.create(folder, "ours");
      NodeSettings.PeerTls foreignKeys = TestKeys.create(folder, "foreign");
      HostPort secureAddress = ports.next();
      try (PeerNetwork server = network("s1", "token", keys);
          PeerNetwork trustedPeer = network("s2", "token", keys);
          PeerNetwork rejectedPeer = network("s3", "token", foreignKeys);
          PeerNetwork plaintextPeer = network("s4", "token")) {
        server.listen(secureAddress);
        // WHEN
        rejectedPeer.connect(secureAddress);
        plaintextPeer.connect(secureAddress);
        trustedPeer.connect(secureAddress);
        // THEN
        await().until(() -> server.connectedNodes().contains("s2"));
        await().until(() -> events.contains(EventKind.PEER_REJECTED));
        assertThat(server.connectedNodes()).containsExactly("s2");
      }
    }

    @Test
    void should_use_replaced_keys_without_a_restart() throws Exception {
      // GIVEN
      NodeSettings.PeerTls keys = TestKeys.create(folder, "ours");
      HostPort secureAddress = ports.next();
      try (PeerNetwork server = network("s1", "token", keys);
          PeerNetwork trustedPeer = network("s2", "token", keys)) {
        server.listen(secureAddress);
        // WHEN
        TestKeys.create(folder, "ours");
        trustedPeer.connect(secureAddress);
        // THEN
        await().until(() -> server.connectedNodes().contains("s2"));
      }
    }
  }

  /** Writes bytes to a connection. */
  private interface SocketWriter {
    void write(OutputStream out) throws IOException;
  }

  private PeerNetwork network(String node, String token) {
    return network(node, token, new NodeSettings.PeerTls("", "", ""));
  }

  private PeerNetwork network(String node, String token, NodeSettings.PeerTls keys) {
    return new PeerNetwork(
        new PeerIdentity(node, "i-" + node, "dc", token),
        new PeerNetwork.Limits(MAX_FRAME_BYTES, IDLE_TIMEOUT_SECONDS),
        new HybridClock(Clock.systemUTC()),
        (kind, subject, detail) -> events.add(kind),
        (from, frame) -> frames.add(frame),
        new PeerTlsContexts(keys),
        new PeerTrafficCounter());
  }
}
