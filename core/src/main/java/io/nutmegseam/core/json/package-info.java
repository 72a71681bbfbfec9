/** Parses JSON with comments, keeps the position of every value and validates it by a schema. */
package io.nutmegseam.core.json;
