package io.samphiregauge.core.site;

/**
 * The share of the requests of a route that a service receives.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the weights of the other services of the route
 */
public record ServiceShare(String service, int weight) {}
