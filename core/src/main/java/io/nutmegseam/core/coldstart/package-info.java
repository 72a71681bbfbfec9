/** Cold starts: which waiting model is loaded next, what makes room, and the store's budget. */
package io.nutmegseam.core.coldstart;
