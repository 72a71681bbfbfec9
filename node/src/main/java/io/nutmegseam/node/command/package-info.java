/** The command line. */
package io.nutmegseam.node.command;
