/** Limits on repeats: the retry budget and the record of requests that crash servers. */
package io.nutmegseam.core.retry;
