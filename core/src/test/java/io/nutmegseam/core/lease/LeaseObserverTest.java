package io.nutmegseam.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaseObserverTest {
  private static final long LEASE_MILLIS = 1_000;

  @Nested
  class Renewals {
    @Test
    void should_lapse_only_after_the_lease_time_without_a_change_of_the_row() {
      // GIVEN
      LeaseObserver observer = LeaseObserver.of(LEASE_MILLIS).observe(List.of(row("i", 1)), 0);
      // WHEN
      LeaseObserver unchanged = observer.observe(List.of(row("i", 1)), 900);
      // THEN
      assertThat(unchanged.holderStatus("n", "i", 1_000)).isEqualTo(HolderStatus.LIVE);
      assertThat(unchanged.holderStatus("n", "i", 1_001)).isEqualTo(HolderStatus.LAPSED);
    }

    @Test
    void should_be_live_again_after_a_renewal() {
      // GIVEN
      LeaseObserver observer = LeaseObserver.of(LEASE_MILLIS).observe(List.of(row("i", 1)), 0);
      // WHEN
      LeaseObserver renewed = observer.observe(List.of(row("i", 2)), 5_000);
      // THEN
      assertThat(renewed.holderStatus("n", "i", 5_500)).isEqualTo(HolderStatus.LIVE);
    }

    @Test
    void should_not_count_time_without_reads_towards_a_lapse() {
      // GIVEN
      LeaseObserver observer = LeaseObserver.of(LEASE_MILLIS).observe(List.of(row("i", 1)), 0);
      // WHEN
      LeaseObserver afterOutage = observer.restartObservation(60_000);
      // THEN
      assertThat(afterOutage.holderStatus("n", "i", 60_500)).isEqualTo(HolderStatus.LIVE);
    }
  }

  @Nested
  class UnavailableHolders {
    @Test
    void should_report_replaced_if_another_incarnation_has_the_row() {
      // GIVEN
      LeaseObserver observer = LeaseObserver.of(LEASE_MILLIS).observe(List.of(row("new", 1)), 0);
      // WHEN
      HolderStatus status = observer.holderStatus("n", "old", 0);
      // THEN
      assertThat(status).isEqualTo(HolderStatus.REPLACED);
    }

    @Test
    void should_report_vm_gone_only_for_a_vm_that_was_listed_before() {
      // GIVEN
      LeaseObserver observer = LeaseObserver.of(LEASE_MILLIS).observe(List.of(row("i", 1)), 0);
      // WHEN
      LeaseObserver neverListed = observer.withVms(Set.of("other"));
      LeaseObserver removed = observer.withVms(Set.of("vm", "other")).withVms(Set.of("other"));
      // THEN
      assertThat(neverListed.holderStatus("n", "i", 2_000)).isEqualTo(HolderStatus.LAPSED);
      assertThat(removed.holderStatus("n", "i", 2_000)).isEqualTo(HolderStatus.VM_GONE);
    }

    @Test
    void should_treat_an_unknown_holder_as_live() {
      // GIVEN
      LeaseObserver observer = LeaseObserver.of(LEASE_MILLIS);
      // WHEN
      HolderStatus status = observer.holderStatus("stranger", "i", 0);
      // THEN
      assertThat(status).isEqualTo(HolderStatus.LIVE);
    }
  }

  private static LeaseRow row(String incarnation, long renewal) {
    return new LeaseRow(
        "n", incarnation, "dc", "vm", "127.0.0.1:1", "http://h", renewal, false, 2, 0);
  }
}
