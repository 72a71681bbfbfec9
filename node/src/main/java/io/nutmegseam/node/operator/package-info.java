/** HTTP interface for operators: records, status, placements, metrics and the time line. */
package io.nutmegseam.node.operator;
