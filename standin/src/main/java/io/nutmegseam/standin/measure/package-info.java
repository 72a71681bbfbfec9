/** Plans measured deployments, drives load against them and reports. */
package io.nutmegseam.standin.measure;
