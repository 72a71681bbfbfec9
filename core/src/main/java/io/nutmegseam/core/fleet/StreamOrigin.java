package io.nutmegseam.core.fleet;

/**
 * Where a stream began. Another server can go on with it only if it has the same origin, since the
 * output of two software versions does not fit together.
 *
 * @param service name of the service
 * @param softwareVersion version of the software of the server that sent the first event
 */
public record StreamOrigin(String service, String softwareVersion) {}
