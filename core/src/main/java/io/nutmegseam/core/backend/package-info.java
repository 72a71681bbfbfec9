/** The control interface of model engines, and the outcomes of calls to backend servers. */
package io.nutmegseam.core.backend;
