/** HTTP clients of the platform's services. */
package io.nutmegseam.node.platform;
