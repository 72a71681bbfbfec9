/** The interface for operators: records, status, placements and the time line. */
package io.nutmegseam.node.operator;
