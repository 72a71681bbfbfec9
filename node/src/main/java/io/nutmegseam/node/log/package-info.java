/** Writes numbered events as JSON lines and keeps recent ones in memory for the timeline. */
package io.nutmegseam.node.log;
