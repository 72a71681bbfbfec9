/** Numbered events as JSON lines, and the recent ones in memory for the time line. */
package io.nutmegseam.node.log;
