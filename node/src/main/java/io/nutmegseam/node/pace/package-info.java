/** Measures the speed of servers, chooses servers by it, and counts bytes to other data centres. */
package io.nutmegseam.node.pace;
