/** Limits that backend servers name, which all nodes together keep. */
package io.nutmegseam.core.quota;
