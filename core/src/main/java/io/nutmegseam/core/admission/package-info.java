/** Admission: a request is taken only if its queue has room and its deadline can be met. */
package io.nutmegseam.core.admission;
