package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.gateway.RequestKind;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A traffic thread that is busy reads requests late. */
class TrafficLagTest {
  private static final long BUSY_MILLIS = 1_000;

  @Nested
  class LateRequests {
    private TestGateway gateway;
    private RecordingServer server;

    @BeforeEach
    void start() throws IOException {
      gateway = new TestGateway();
      server = new RecordingServer("a");
      gateway.configureEntries(
          TestGateway.route(RequestKind.IDEMPOTENT, false), List.of(server.entry()));
      assertThat(gateway.call("GET", "first", "")).startsWith("HTTP/1.1 200");
    }

    @AfterEach
    void stop() throws IOException {
      server.close();
      gateway.close();
    }

    /** Guards against requests that reach servers long after their callers have given up. */
    @Test
    void should_not_be_sent_to_a_server_if_their_callers_have_left() throws Exception {
      // GIVEN connections that the gateway has accepted
      List<Socket> callers = connect(10);
      // WHEN
      makeThreadBusy();
      for (int i = 0; i < callers.size(); i++) {
        send(callers.get(i), "late" + i);
        callers.get(i).close();
      }
      // THEN
      Thread.sleep(2 * BUSY_MILLIS);
      assertThat(server.arrivals()).extracting(RecordingServer.Arrival::id).containsOnly("first");
    }

    @Test
    void should_be_served_if_their_callers_still_wait() throws Exception {
      List<Socket> callers = connect(10);
      makeThreadBusy();
      for (int i = 0; i < callers.size(); i++) {
        send(callers.get(i), "late" + i);
      }
      await().until(() -> server.arrivals().size() == 1 + callers.size());
      for (Socket caller : callers) {
        caller.close();
      }
    }

    private List<Socket> connect(int count) throws Exception {
      List<Socket> callers = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        callers.add(gateway.connect());
      }
      Thread.sleep(200);
      return callers;
    }

    private void makeThreadBusy() throws InterruptedException {
      CountDownLatch busy = new CountDownLatch(1);
      gateway
          .loop()
          .execute(
              () -> {
                busy.countDown();
                sleep(BUSY_MILLIS);
              });
      busy.await();
    }

    private void send(Socket caller, String id) throws IOException {
      caller
          .getOutputStream()
          .write(
              ("GET /p/x HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\n\r\n")
                  .getBytes(StandardCharsets.UTF_8));
    }
  }

  @Nested
  class Measurement {
    private final TestClock clock = new TestClock();
    private long suspendedMillis;
    private final List<Runnable> delayed = new ArrayList<>();
    private final TrafficLag lag =
        new TrafficLag(
            clock,
            () -> clock.instant().plusMillis(suspendedMillis),
            Runnable::run,
            (delayMillis, task) -> delayed.add(task));

    @Test
    void should_be_late_while_the_thread_is_busy_and_until_it_was_in_time_again() {
      // GIVEN
      lag.start();
      clock.advance(100);
      runNext();
      assertThat(lag.isLate()).isFalse();
      // WHEN
      clock.advance(1_000);
      assertThat(lag.isLate()).isTrue();
      runNext();
      assertThat(lag.isLate()).isTrue();
      // THEN
      clock.advance(100);
      runNext();
      assertThat(lag.isLate()).isFalse();
    }

    /** Guards against a suspended VM that takes old bytes for new: its monotonic clock stopped. */
    @Test
    void should_be_late_after_the_vm_was_suspended() {
      // GIVEN
      lag.start();
      clock.advance(50);
      // WHEN
      suspendedMillis = 1_000;
      assertThat(lag.isLate()).isTrue();
      clock.advance(50);
      runNext();
      assertThat(lag.isLate()).isTrue();
      // THEN
      clock.advance(100);
      runNext();
      assertThat(lag.isLate()).isFalse();
    }

    @Test
    void should_not_be_late_before_it_is_started() {
      clock.advance(1_000);
      assertThat(lag.isLate()).isFalse();
    }

    private void runNext() {
      delayed.remove(0).run();
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
