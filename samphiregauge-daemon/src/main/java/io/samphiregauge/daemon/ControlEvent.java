package io.samphiregauge.daemon;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.platform.RecordsPage;

/** Event for the control thread. */
sealed interface ControlEvent {
  /** A read of the log that was answered; the page may be empty. */
  record PageRead(RecordsPage page) implements ControlEvent {}

  /** A read of the log that failed. */
  record LogUnreachable(Failure failure) implements ControlEvent {}

  /** The end of the control thread. */
  record Stop() implements ControlEvent {}
}
