/** Entry point of the product: the node daemon and the operators' command line. */
package io.nutmegseam.node;
