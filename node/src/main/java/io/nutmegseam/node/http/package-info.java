/** HTTP servers on Jooby. */
package io.nutmegseam.node.http;
