/** Expected times to the first event of a response, and the choice of a server by them. */
package io.nutmegseam.core.pace;
