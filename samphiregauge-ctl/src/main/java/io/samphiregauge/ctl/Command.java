package io.samphiregauge.ctl;

import io.samphiregauge.core.result.Result;

/** One command of {@code samphirectl}. */
@FunctionalInterface
interface Command {
  /**
   * Runs the command.
   *
   * @param session connections to the log and the entries
   * @return the report to print, or the failure
   */
  Result<Report> run(Session session);
}
