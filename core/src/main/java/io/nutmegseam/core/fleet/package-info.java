/** Backend servers that announce themselves, and the models that they have loaded. */
package io.nutmegseam.core.fleet;
