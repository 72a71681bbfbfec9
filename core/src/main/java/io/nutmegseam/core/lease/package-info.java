/** Node leases: who is live, as rows of the table service show it to an observer. */
package io.nutmegseam.core.lease;
