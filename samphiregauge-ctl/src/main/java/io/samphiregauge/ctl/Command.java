package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Result;

/** One command of {@code samphirectl}. */
@FunctionalInterface
interface Command {
  /**
   * Runs the command.
   *
   * @param session connections that the command may use
   * @return what it prints, or why it failed
   */
  Result<Report> run(Session session);
}
