/** Tests that run each node in a separate process, and their harness. */
package io.nutmegseam.standin.process;
