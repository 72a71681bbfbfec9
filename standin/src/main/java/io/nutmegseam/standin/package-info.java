/**
 * Command line of the stand-ins for the systems outside nutmegseam, and of the tool that measures
 * deployments.
 */
package io.nutmegseam.standin;
