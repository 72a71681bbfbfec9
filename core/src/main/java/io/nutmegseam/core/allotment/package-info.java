/**
 * Allotments of tenants over all nodes: grants of the granting nodes and balances of the others.
 */
package io.nutmegseam.core.allotment;
