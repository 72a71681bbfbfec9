/** Sends the fleet state once to each data centre, where one node forwards it. */
package io.nutmegseam.node.relay;
