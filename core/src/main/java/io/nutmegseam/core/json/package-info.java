/** JSON with comments, read with the place of every value and checked against a schema. */
package io.nutmegseam.core.json;
