/** Operator records, their schema versions, and the catalog of the active records. */
package io.nutmegseam.core.config;
