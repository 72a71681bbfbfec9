/** What is known of backend servers that announce themselves, and which models they hold. */
package io.nutmegseam.core.fleet;
