/** Claims on idempotency keys, which ensure that a non-repeatable call runs at most once. */
package io.nutmegseam.core.claim;
