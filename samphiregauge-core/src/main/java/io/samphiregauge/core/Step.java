package io.samphiregauge.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * What a state machine answers to an event: its next state, and what is to be done outside.
 *
 * @param state next state
 * @param actions actions in the order in which they are to be done
 * @param <S> type of the state
 * @param <A> type of the actions
 */
public record Step<S, A>(S state, List<A> actions) {
  /** Copies the actions. */
  public Step {
    Objects.requireNonNull(state, "state");
    actions = List.copyOf(actions);
  }

  /**
   * Makes a step without actions.
   *
   * @param state next state
   * @return the step
   */
  public static <S, A> Step<S, A> to(S state) {
    return new Step<>(state, List.of());
  }

  /**
   * Makes a step with one action.
   *
   * @param state next state
   * @param action the action
   * @return the step
   */
  public static <S, A> Step<S, A> to(S state, A action) {
    return new Step<>(state, List.of(action));
  }

  /**
   * Adds actions of an earlier step before those of this one.
   *
   * @param earlier actions that come first
   * @return the step with all actions
   */
  public Step<S, A> prepend(List<A> earlier) {
    List<A> all = new ArrayList<>(earlier);
    all.addAll(actions);
    return new Step<>(state, all);
  }
}
