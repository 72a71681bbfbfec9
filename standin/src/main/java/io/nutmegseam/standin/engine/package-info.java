/** Stand-in for a model engine: memory, loads, batched token generation, fencing and faults. */
package io.nutmegseam.standin.engine;
