/** Checks of the generated documentation pages. */
package io.nutmegseam.node;
