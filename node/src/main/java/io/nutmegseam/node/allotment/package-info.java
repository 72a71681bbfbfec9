/** Charges requests to the allotments of tenants, which granting nodes keep over all nodes. */
package io.nutmegseam.node.allotment;
