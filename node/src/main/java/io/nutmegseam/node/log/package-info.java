/** Writes numbered events as JSON lines and keeps recent ones in memory for the time line. */
package io.nutmegseam.node.log;
