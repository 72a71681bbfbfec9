/** Tests of the core module. */
package io.nutmegseam.core;
