/** HTTP interface for operators: records, status, placements, metrics and the timeline. */
package io.nutmegseam.node.operator;
