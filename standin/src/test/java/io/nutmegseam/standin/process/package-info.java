/** Tests with nodes in separate processes, and their harness. */
package io.nutmegseam.standin.process;
