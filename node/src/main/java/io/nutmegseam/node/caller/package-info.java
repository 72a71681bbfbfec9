/** The path of a caller's request, as filters. */
package io.nutmegseam.node.caller;
