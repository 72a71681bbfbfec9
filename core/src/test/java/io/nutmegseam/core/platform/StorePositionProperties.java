package io.nutmegseam.core.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** The store's versions go back at the start of an era and are given out again. */
class StorePositionProperties {
  private static final long MAX_VERSION = (1L << 40) - 1;
  private static final long MAX_ERA = (1L << 13) - 1;

  @Property(seed = "4711")
  void should_order_by_era_and_then_by_version(
      @ForAll @LongRange(max = MAX_ERA) long era,
      @ForAll @LongRange(max = MAX_VERSION) long version,
      @ForAll @LongRange(max = MAX_ERA) long otherEra,
      @ForAll @LongRange(max = MAX_VERSION) long otherVersion) {
    int expected =
        era == otherEra ? Long.compare(version, otherVersion) : Long.compare(era, otherEra);
    assertThat(
            Long.compare(StorePosition.of(era, version), StorePosition.of(otherEra, otherVersion)))
        .isEqualTo(expected);
  }

  @Property(seed = "4711")
  void should_contain_the_era_and_the_version(
      @ForAll @LongRange(max = MAX_ERA) long era,
      @ForAll @LongRange(max = MAX_VERSION) long version) {
    long position = StorePosition.of(era, version);
    assertThat(StorePosition.era(position)).isEqualTo(era);
    assertThat(StorePosition.version(position)).isEqualTo(version);
  }

  @Example
  void should_equal_the_version_in_a_store_without_eras() {
    assertThat(StorePosition.of(0, 4_711)).isEqualTo(4_711);
  }

  @Example
  void should_be_exact_as_a_json_number() {
    assertThat(StorePosition.of(MAX_ERA, MAX_VERSION)).isLessThan(1L << 53);
  }

  @Example
  void should_reject_numbers_out_of_range() {
    assertThatThrownBy(() -> StorePosition.of(MAX_ERA + 1, 0))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessage("store era 8192 is not in 0 to 8191");
    assertThatThrownBy(() -> StorePosition.of(0, -1))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageStartingWith("store version -1 is not in 0 to ");
  }
}
