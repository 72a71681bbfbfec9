/** Accounting of a backend server's accelerator memory. */
package io.nutmegseam.core.memory;
