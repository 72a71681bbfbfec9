/** Limits on retries: the retry budget and the registry of requests that crash servers. */
package io.nutmegseam.core.retry;
