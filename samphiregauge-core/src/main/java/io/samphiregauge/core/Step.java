package io.samphiregauge.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The result of a state transition: the next state and the resulting outputs, in order; immutable.
 *
 * @param state next state
 * @param actions outputs, such as actions that the caller must perform, in order
 * @param <S> type of the state
 * @param <A> type of the actions
 */
public record Step<S, A>(S state, List<A> actions) {
  /** Makes a defensive copy of the list of actions. */
  public Step {
    Objects.requireNonNull(state, "state");
    actions = List.copyOf(actions);
  }

  /**
   * Creates a step without actions.
   *
   * @param state next state
   * @return the step
   */
  public static <S, A> Step<S, A> to(S state) {
    return new Step<>(state, List.of());
  }

  /**
   * Creates a step with one action.
   *
   * @param state next state
   * @param action the action
   * @return the step
   */
  public static <S, A> Step<S, A> to(S state, A action) {
    return new Step<>(state, List.of(action));
  }

  /**
   * Returns this step with the actions of an earlier step before its own.
   *
   * @param earlier actions to perform first
   * @return a step with the same state and all actions
   */
  public Step<S, A> prepend(List<A> earlier) {
    List<A> all = new ArrayList<>(earlier);
    all.addAll(actions);
    return new Step<>(state, all);
  }
}
