/** Tenants: organisations whose requests carry an API key, with their priority and allotment. */
package io.nutmegseam.core.tenant;
