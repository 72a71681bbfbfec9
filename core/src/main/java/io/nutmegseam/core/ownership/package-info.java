/** Ownership of backend servers: only one owner at a time sends a server its orders. */
package io.nutmegseam.core.ownership;
