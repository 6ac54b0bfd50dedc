package io.samphiregauge.core.site;

/**
 * A team that is identified by a key.
 *
 * @param name name of the team
 * @param priority priority of the team; 0 is the highest
 */
public record Team(String name, int priority) {}
