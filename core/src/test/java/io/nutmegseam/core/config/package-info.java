/** Tests of the parsing, validation and catalog of operator records. */
package io.nutmegseam.core.config;
