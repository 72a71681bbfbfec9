/** Tests of server ownership. */
package io.nutmegseam.core.ownership;
