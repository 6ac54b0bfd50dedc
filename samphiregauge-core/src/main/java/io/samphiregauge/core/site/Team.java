package io.samphiregauge.core.site;

import java.util.Optional;

/**
 * A team that is identified by a key.
 *
 * @param name name of the team
 * @param priority priority of the team; 0 is the highest
 * @param quota limit on what the team uses over all entries; empty for no limit
 */
public record Team(String name, int priority, Optional<TeamQuota> quota) {
  /**
   * Creates a team without a limit.
   *
   * @param name name of the team
   * @param priority priority of the team; 0 is the highest
   */
  public Team(String name, int priority) {
    this(name, priority, Optional.empty());
  }
}
