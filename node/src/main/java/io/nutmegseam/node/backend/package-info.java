/** HTTP clients of backend servers: engine control, completions and plain services. */
package io.nutmegseam.node.backend;
