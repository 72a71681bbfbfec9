/** Tests of the hybrid logical clock and the event numbers. */
package io.nutmegseam.core.event;
