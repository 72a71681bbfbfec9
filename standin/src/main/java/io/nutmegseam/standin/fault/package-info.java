/** Faults that a test or an operator injects into a stand-in. */
package io.nutmegseam.standin.fault;
