/** Faults that a test or an operator asks a stand-in for. */
package io.nutmegseam.standin.fault;
