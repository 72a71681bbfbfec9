/** Tests of cold starts. */
package io.nutmegseam.core.coldstart;
