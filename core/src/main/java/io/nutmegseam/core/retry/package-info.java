/** Limits on retries. */
package io.nutmegseam.core.retry;
