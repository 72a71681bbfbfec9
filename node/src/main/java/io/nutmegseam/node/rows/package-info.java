/** Watches tables of the platform's store, directly or through another node of the data centre. */
package io.nutmegseam.node.rows;
