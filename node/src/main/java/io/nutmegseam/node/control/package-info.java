/** Control state of a node. One thread owns it; traffic reads immutable snapshots. */
package io.nutmegseam.node.control;
