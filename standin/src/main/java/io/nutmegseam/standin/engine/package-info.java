/** Stand-in for a model engine: memory, loads, batched generation, fencing and faults. */
package io.nutmegseam.standin.engine;
