/** Claims of unrepeatable calls in the table service, with group commit. */
package io.nutmegseam.node.claim;
