/** Order in which waiting requests are dispatched and models are loaded for them. */
package io.nutmegseam.core.dispatch;
