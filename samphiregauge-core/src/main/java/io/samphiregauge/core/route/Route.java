package io.samphiregauge.core.route;

/**
 * A chosen backend server, and why it was chosen.
 *
 * @param candidate the choice
 * @param considered number of candidates compared
 * @param reason the property that decided, such as {@code least_load}
 */
public record Route(Candidate candidate, int considered, String reason) {}
