/**
 * Request bodies that are being received or kept, and the memory that they share. {@link
 * io.nutmegseam.node.body.BodyMemory} is the entry.
 */
package io.nutmegseam.node.body;
