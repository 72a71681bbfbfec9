/** The platform's services over HTTP. */
package io.nutmegseam.node.platform;
