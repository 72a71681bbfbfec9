package io.nutmegseam.node.tenant;

import java.util.OptionalLong;

/**
 * Whether the configuration of a node is provably young enough to admit requests by key.
 *
 * @param proven whether it is
 * @param ageMillis its age, in milliseconds; empty if it is unknown or does not matter
 * @param retryAfterMillis if it is not proven, time after which a caller should try again, in
 *     milliseconds
 */
public record ProofState(boolean proven, OptionalLong ageMillis, long retryAfterMillis) {
  /** State of a node that need not prove the age of its configuration. */
  public static final ProofState NOT_REQUIRED = new ProofState(true, OptionalLong.empty(), 0);
}
