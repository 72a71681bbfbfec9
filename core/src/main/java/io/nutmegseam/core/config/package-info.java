/** Operator records, their schema versions, and the catalog of the records in force. */
package io.nutmegseam.core.config;
