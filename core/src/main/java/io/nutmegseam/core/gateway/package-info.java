/** The gateway's configuration: routes by host and path, services and their engines, limits. */
package io.nutmegseam.core.gateway;
