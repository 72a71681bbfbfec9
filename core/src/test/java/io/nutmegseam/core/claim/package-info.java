/** Tests of claims. */
package io.nutmegseam.core.claim;
