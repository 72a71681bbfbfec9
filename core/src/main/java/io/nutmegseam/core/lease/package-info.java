/** Node leases: which nodes are live, as an observer infers from rows of the table service. */
package io.nutmegseam.core.lease;
