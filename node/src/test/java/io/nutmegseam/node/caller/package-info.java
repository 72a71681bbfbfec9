/** Tests of the processing of callers' requests. */
package io.nutmegseam.node.caller;
