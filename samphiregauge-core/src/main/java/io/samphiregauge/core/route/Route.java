package io.samphiregauge.core.route;

/**
 * Result of routing: the selected backend server and the reason.
 *
 * @param candidate the selected server
 * @param considered number of candidates that were compared
 * @param reason reason for the choice, such as {@code least_load}
 */
public record Route(Candidate candidate, int considered, String reason) {}
