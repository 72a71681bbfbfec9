/** The platform's services as functional interfaces: table service, object store and VM list. */
package io.nutmegseam.core.platform;
