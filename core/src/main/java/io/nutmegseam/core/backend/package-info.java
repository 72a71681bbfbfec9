/** Backend servers as interfaces: model engines and plain services. */
package io.nutmegseam.core.backend;
