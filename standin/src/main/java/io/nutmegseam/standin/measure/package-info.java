/** Writes the files of measured deployments, sends load to them and reports the results. */
package io.nutmegseam.standin.measure;
