/**
 * Admission control: a request is accepted only if a server can run it, its queue is not full and
 * its deadline can be met.
 */
package io.nutmegseam.core.admission;
