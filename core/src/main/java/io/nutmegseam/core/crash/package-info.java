/**
 * Decides which requests crash the servers that run them, from the crashes and the successful runs
 * that all nodes report.
 */
package io.nutmegseam.core.crash;
