package io.samphiregauge.core.result;

/** The reason why an operation failed; each kind of failure is a separate record type. */
public interface Failure {
  /**
   * Returns the machine-readable name of the failure.
   *
   * @return the name in snake case, such as {@code note_conflict}
   */
  String type();

  /**
   * Returns a human-readable description of the failure.
   *
   * @return one sentence that names the values involved and where the failure occurred
   */
  String message();
}
