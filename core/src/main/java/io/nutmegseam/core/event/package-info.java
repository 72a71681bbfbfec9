/** Numbered events and the hybrid logical clock that orders them over all processes. */
package io.nutmegseam.core.event;
