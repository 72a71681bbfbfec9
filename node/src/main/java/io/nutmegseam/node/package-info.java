/** Entry point of the product, which runs a node or an operator command. */
package io.nutmegseam.node;
