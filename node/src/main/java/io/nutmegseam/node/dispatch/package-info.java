/** Applies the dispatch order to the requests of this node. */
package io.nutmegseam.node.dispatch;
