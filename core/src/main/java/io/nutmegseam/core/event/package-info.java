/** Numbered events and the hybrid logical clock that orders them across processes. */
package io.nutmegseam.core.event;
