/** The error kinds and the checked exception that carries one. */
package io.nutmegseam.core.error;
