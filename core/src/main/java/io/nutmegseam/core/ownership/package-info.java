/** Ownership of backend servers: one owner at a time gives a server its orders. */
package io.nutmegseam.core.ownership;
