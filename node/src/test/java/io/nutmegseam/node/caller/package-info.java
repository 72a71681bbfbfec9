/** Tests of the path of a caller's request. */
package io.nutmegseam.node.caller;
