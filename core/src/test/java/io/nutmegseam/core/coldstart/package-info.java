/** Tests of the selection of loads and evictions and of the weight-store budget. */
package io.nutmegseam.core.coldstart;
