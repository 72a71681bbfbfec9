/** Tests of the hybrid logical clock. */
package io.nutmegseam.core.event;
