/** Tests of a node's parts. */
package io.nutmegseam.node;
