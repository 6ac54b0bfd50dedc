package io.samphiregauge.core.route;

import io.samphiregauge.schema.config.Backend;

/**
 * A backend server that can run a request, with its load as seen by this entry.
 *
 * @param backend the backend server
 * @param running number of running requests of this entry
 * @param reportedLoad number of running requests in its last load report, excluding those of this
 *     entry
 * @param hopUs network latency to the server, in microseconds
 */
public record Candidate(Backend backend, int running, int reportedLoad, int hopUs) {}
