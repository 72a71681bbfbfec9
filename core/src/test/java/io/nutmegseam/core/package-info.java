/** Tests of the decisions. */
package io.nutmegseam.core;
