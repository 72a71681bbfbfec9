/** Tenants of requests: authentication by API key, and proof that no key has been revoked. */
package io.nutmegseam.node.tenant;
