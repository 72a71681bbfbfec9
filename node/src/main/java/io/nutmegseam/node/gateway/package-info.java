/** The gateway path: forwards HTTP requests to backend servers by host and path prefix. */
package io.nutmegseam.node.gateway;
