/** Backend servers over HTTP: engine control, completions and plain services. */
package io.nutmegseam.node.backend;
