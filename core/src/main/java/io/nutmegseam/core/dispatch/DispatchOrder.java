package io.nutmegseam.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * The order in which waiting requests are dispatched: by priority, then tenants within their share
 * before those far above it, then requests that can still meet their target by its end, then late
 * ones by age.
 */
public final class DispatchOrder {
  /**
   * A request that has waited for this long moves up by one priority, and the share of its tenant
   * no longer counts; else a request of a low priority would never run under lasting overload.
   */
  private static final long AGEING_MILLIS = 5_000;

  private static final Comparator<Entry<?>> COMPARATOR =
      Comparator.<Entry<?>>comparingInt(Entry::rank)
          .thenComparing(Entry::aboveShare)
          .thenComparing(Entry::late)
          .thenComparingLong(Entry::sortMillis)
          .thenComparingLong(Entry::arrivedMillis);

  private record Entry<T>(
      T item, int rank, boolean aboveShare, boolean late, long sortMillis, long arrivedMillis) {
    static <T> Entry<T> of(T item, WaitingRequest request, TenantShares shares, long nowMillis) {
      long agedRanks = Math.max(0, nowMillis - request.arrivedMillis()) / AGEING_MILLIS;
      boolean late = request.isLate(nowMillis);
      return new Entry<>(
          item,
          (int) Math.max(0, request.priority() - agedRanks),
          agedRanks == 0 && shares.isAboveShare(request.tenant(), nowMillis),
          late,
          late ? request.arrivedMillis() : request.latestStartMillis(),
          request.arrivedMillis());
    }
  }

  private DispatchOrder() {}

  /**
   * Returns waiting items in the order in which they are dispatched; items that do not differ keep
   * their order.
   *
   * @param waiting the items
   * @param request returns what the order needs to know of an item
   * @param shares recent use of the tenants
   * @param nowMillis monotonic time
   */
  public static <T> List<T> sorted(
      Collection<T> waiting,
      Function<T, WaitingRequest> request,
      TenantShares shares,
      long nowMillis) {
    return waiting.stream()
        .map(item -> Entry.of(item, request.apply(item), shares, nowMillis))
        .sorted(COMPARATOR)
        .map(Entry::item)
        .toList();
  }
}
