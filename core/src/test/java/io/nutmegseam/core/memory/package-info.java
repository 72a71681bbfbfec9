/** Tests of the memory ledger. */
package io.nutmegseam.core.memory;
