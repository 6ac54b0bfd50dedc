package io.samphiregauge.core.result;

/** A reason why an operation gave no value; each kind of failure is a record of its own. */
public interface Failure {
  /**
   * Returns the name of the failure as programs see it.
   *
   * @return a name in snake case, such as {@code note_conflict}
   */
  String type();

  /**
   * Describes the failure for people.
   *
   * @return one sentence that names the place of the failure
   */
  String message();
}
