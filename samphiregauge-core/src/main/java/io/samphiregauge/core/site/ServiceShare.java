package io.samphiregauge.core.site;

/**
 * A service of a route.
 *
 * @param service name of the service
 * @param weight its part of the requests, relative to the weights of the others
 */
public record ServiceShare(String service, int weight) {}
