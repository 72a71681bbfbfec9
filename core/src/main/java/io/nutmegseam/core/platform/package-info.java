/** Interfaces of the platform's services: table service, object store and VM list. */
package io.nutmegseam.core.platform;
