package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.orders.OrderLease;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.rows.TableUpdate;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The order lease at a node whose clocks jump or whose VM is suspended. */
class LeaseControlTest {
  private static final String TABLE = StoreWatcher.OWN_TABLE;
  private static final String KEY = "order-lease";
  private static final OrderLease.Timing TIMING = new OrderLease.Timing(8_000, 1_000, 2_000, 4_000);

  private final ControlThread thread = new ControlThread((kind, subject, detail) -> {});
  private final TestRowStore store = new TestRowStore();
  private final AtomicLong monotonicMillis = new AtomicLong(100_000);
  private final AtomicLong wallMillis = new AtomicLong(1_700_000_000_000L);
  private int writes;
  private final LeaseControl lease =
      new LeaseControl(
          new OrderLease.Claimant("p1", "n1", "10.0.0.1:1"),
          TIMING,
          store,
          (key, expectedVersion, value) -> {
            writes++;
            return store.write(TABLE, key, expectedVersion, value);
          },
          thread,
          new LeaseControl.Clocks(
              () -> Instant.ofEpochMilli(monotonicMillis.get()),
              () -> Instant.ofEpochMilli(wallMillis.get())),
          () -> 0,
          () -> true,
          (kind, subject, detail) -> {});

  @AfterEach
  void close() {
    thread.close();
  }

  @Nested
  class JumpOfTheTimeOfDay {
    @Test
    void should_go_on_after_one_confirmed_write_and_keep_the_lease_for_its_time() throws Exception {
      // GIVEN
      acquire();
      long fence = fence().orElseThrow();
      for (long jumpMillis : new long[] {2_000, -2_000, -5_000, 5_000}) {
        // WHEN
        wallMillis.addAndGet(jumpMillis);
        // THEN
        assertThat(fence()).as("before the lease is confirmed").isEmpty();
        int writesBefore = writes;
        tick();
        assertThat(writes - writesBefore).isEqualTo(1);
        assertThat(fence().orElseThrow()).isGreaterThan(fence);
        fence = fence().orElseThrow();
        passTime(TIMING.leaseMillis() - TIMING.marginMillis() - 1);
        assertThat(fence()).isPresent();
        tick();
      }
    }
  }

  @Nested
  class SuspendedVm {
    @Test
    void should_send_no_orders_if_another_node_took_the_lease_meanwhile() throws Exception {
      // GIVEN
      acquire();
      // WHEN the monotonic clock stands still while the lease lapses and another node takes it
      wallMillis.addAndGet(10_000);
      store.put(
          TABLE,
          KEY,
          "{\"holder\":\"p2\",\"node\":\"n2\",\"peerAddress\":\"10.0.0.2:1\",\"released\":false}");
      // THEN
      assertThat(fence()).isEmpty();
      tick();
      assertThat(fence()).isEmpty();
      tick();
      assertThat(fence()).isEmpty();
    }
  }

  private void acquire() throws Exception {
    onThread(() -> lease.onRows(new TableUpdate<Row>(List.of(), List.of(), 0, 1, true, 0, 0)));
    tick();
    passTime(TIMING.renewMillis());
    tick();
    assertThat(fence()).isPresent();
  }

  private void passTime(long millis) {
    monotonicMillis.addAndGet(millis);
    wallMillis.addAndGet(millis);
  }

  /** Runs a tick and waits until the calls to the store that follow have been handled. */
  private void tick() throws Exception {
    onThread(() -> lease.tick(0));
    onThread(() -> {});
    onThread(() -> {});
  }

  private Optional<Long> fence() throws Exception {
    CompletableFuture<Optional<Long>> fence = new CompletableFuture<>();
    thread.execute(() -> fence.complete(lease.fence()));
    return fence.get();
  }

  private void onThread(Runnable task) throws ExecutionException, InterruptedException {
    CompletableFuture<Void> done = new CompletableFuture<>();
    thread.execute(
        () -> {
          task.run();
          done.complete(null);
        });
    done.get();
  }
}
