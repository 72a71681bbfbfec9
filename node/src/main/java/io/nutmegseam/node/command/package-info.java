/** The {@code nutmegseam} command line. */
package io.nutmegseam.node.command;
