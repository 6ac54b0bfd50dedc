package io.samphiregauge.core.site;

/**
 * A team, as a key identifies it.
 *
 * @param name name of the team
 * @param priority rank of the team; 0 is the most urgent
 */
public record Team(String name, int priority) {}
