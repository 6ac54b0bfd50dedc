package io.samphiregauge.core.route;

import io.samphiregauge.schema.config.Backend;

/**
 * A backend server that could run a request, as this entry sees it.
 *
 * @param backend the backend server
 * @param running requests that this entry has running on it
 * @param reportedLoad running requests by its last load report, without those of this entry
 * @param hopUs delay to it, in microseconds
 */
public record Candidate(Backend backend, int running, int reportedLoad, int hopUs) {}
