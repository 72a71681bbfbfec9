/** Tests of operator records. */
package io.nutmegseam.core.config;
