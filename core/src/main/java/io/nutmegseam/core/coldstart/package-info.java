/** Cold starts: selection of loads and evictions, and the permit budget of the weight store. */
package io.nutmegseam.core.coldstart;
