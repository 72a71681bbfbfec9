/** Claims of calls that must not be repeated, stored in the table service with group commit. */
package io.nutmegseam.node.claim;
