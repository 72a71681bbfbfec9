/** Entry point of the stand-ins for the systems outside nutmegseam, and of the load driver. */
package io.nutmegseam.standin;
