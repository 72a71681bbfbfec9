/** Tests of leases. */
package io.nutmegseam.core.lease;
