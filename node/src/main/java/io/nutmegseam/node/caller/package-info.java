/** Processes the requests of callers in a chain of filters. */
package io.nutmegseam.node.caller;
