package io.nutmegseam.core.crash;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/**
 * What a node needs to know of crashes when it handles a request. Immutable.
 *
 * @param condemned the verdicts by which requests are refused
 * @param strikes number of crashes of each suspect that nothing else explains
 */
public record CrashView(
    Map<Fingerprint, CrashVerdict> condemned, Map<Fingerprint, Integer> strikes) {
  /** A view without crashes. */
  public static final CrashView EMPTY = new CrashView(Map.of(), Map.of());

  /** Creates a view with copies of the maps. */
  public CrashView {
    condemned = Map.copyOf(condemned);
    strikes = Map.copyOf(strikes);
  }

  /** Returns the verdict by which a request with some fingerprints is refused, if there is one. */
  public Optional<CrashVerdict> findVerdict(Collection<Fingerprint> fingerprints) {
    return condemned.isEmpty()
        ? Optional.empty()
        : fingerprints.stream().filter(condemned::containsKey).map(condemned::get).findFirst();
  }

  /** Returns the highest number of unexplained crashes of some fingerprints. */
  public int maxStrikes(Collection<Fingerprint> fingerprints) {
    return strikes.isEmpty()
        ? 0
        : fingerprints.stream().mapToInt(f -> strikes.getOrDefault(f, 0)).max().orElse(0);
  }
}
