/** Runs several stand-ins in one process, as one settings file describes them. */
package io.nutmegseam.standin.environment;
