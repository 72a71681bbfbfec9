/** Which nodes receive an update directly, and which ones forward it within their data centre. */
package io.nutmegseam.core.relay;
