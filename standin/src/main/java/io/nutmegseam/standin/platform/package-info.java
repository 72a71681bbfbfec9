/** Stand-in for the platform: table service, object store, VM list and weight store. */
package io.nutmegseam.standin.platform;
