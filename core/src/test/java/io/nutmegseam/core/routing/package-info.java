/** Tests of routing, admission and retries. */
package io.nutmegseam.core.routing;
