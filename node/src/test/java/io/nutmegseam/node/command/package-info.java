/** Tests of the command line. */
package io.nutmegseam.node.command;
