/** HTTP servers on Jooby, and what HTTP clients of a node take for a response. */
package io.nutmegseam.node.http;
