package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.orders.StoreLoadLimiter;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.rows.TableUpdate;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new holder of the order lease that does not know the loads of the holder before
 * it, and overloads the weight store or leaves it idle.
 */
class StoreLoadHandoverTest {
  private static final String LEASE_ROW = "{\"holder\":\"n1/1\"}";
  private static final double LOADS_PER_SECOND = 38;
  private static final long LOAD_MILLIS = 10_200;

  private final TestClock clock = new TestClock();
  private final StoreLoadLimiter firstLoads = new StoreLoadLimiter(4, 5_000);
  private final StoreLoadLimiter secondLoads = new StoreLoadLimiter(4, 5_000);
  private final StoreLoadHandover first = new StoreLoadHandover("n1/1", firstLoads, clock, clock);
  private final StoreLoadHandover second = new StoreLoadHandover("n2/2", secondLoads, clock, clock);

  @Nested
  class LeaseRow {
    @Test
    void should_tell_the_next_holder_the_loads_in_flight() {
      // GIVEN
      firstLoads.onStarted("s1", "m", LOAD_MILLIS, clock.millis());
      firstLoads.onStarted("s2", "m", LOAD_MILLIS, clock.millis());
      clock.advance(4_000);
      // WHEN
      second.onRows(update(first.addTo(LEASE_ROW)));
      // THEN
      assertThat(allowedLoads(secondLoads)).isZero();
      clock.advance(LOAD_MILLIS - 4_000);
      assertThat(allowedLoads(secondLoads)).isEqualTo(2);
    }

    /** Guards against requests that are refused while the next holder does not know their load. */
    @Test
    void should_tell_the_next_holder_which_model_a_server_loads() {
      firstLoads.onStarted("s1", "m", LOAD_MILLIS, clock.millis());
      second.onRows(update(first.addTo(LEASE_ROW)));
      assertThat(secondLoads.untrackedLoad("s1", clock.millis()))
          .hasValueSatisfying(load -> assertThat(load.model()).isEqualTo("m"));
    }

    /** Guards against a store that is left idle for the time in which nobody held the lease. */
    @Test
    void should_count_the_time_for_which_the_row_has_stood() {
      // GIVEN
      firstLoads.onStarted("s1", "m", LOAD_MILLIS, clock.millis());
      String row = first.addTo(LEASE_ROW);
      clock.advance(LOAD_MILLIS);
      // WHEN
      second.onRows(update(row));
      // THEN
      assertThat(allowedLoads(secondLoads)).isEqualTo(2);
    }

    @Test
    void should_keep_the_other_fields_of_the_row() {
      assertThat(first.addTo(LEASE_ROW)).contains("\"holder\":\"n1/1\"");
    }
  }

  @Nested
  class IgnoredRows {
    @Test
    void should_ignore_the_row_that_the_process_itself_has_written() {
      String row = first.addTo(LEASE_ROW);
      firstLoads.onStarted("s1", "m", LOAD_MILLIS, clock.millis());
      first.onRows(update(row));
      assertThat(allowedLoads(firstLoads)).isEqualTo(1);
    }

    @Test
    void should_keep_what_is_known_if_the_row_is_of_a_build_that_does_not_tell_or_is_unreadable() {
      secondLoads.onStarted("s1", "m", LOAD_MILLIS, clock.millis());
      second.onRows(update(LEASE_ROW));
      second.onRows(update("no JSON"));
      assertThat(allowedLoads(secondLoads)).isEqualTo(1);
    }
  }

  private int allowedLoads(StoreLoadLimiter loads) {
    return loads.allowedLoads(LOADS_PER_SECOND, clock.millis());
  }

  private static TableUpdate<Row> update(String value) {
    return new TableUpdate<>(
        List.of(new Row(LeaseControl.KEY, value, 1)), List.of(), 0, 1, false, 0, 0);
  }
}
