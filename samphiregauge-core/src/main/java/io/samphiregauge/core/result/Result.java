package io.samphiregauge.core.result;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * A value, or the failure that took its place.
 *
 * <pre>{@code
 * String text = Notes.apply(view, note).fold(View::summary, Failure::message);
 * }</pre>
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {
  /** A result with a value. */
  record Success<T>(T content) implements Result<T> {
    /** Checks that there is a value. */
    public Success {
      Objects.requireNonNull(content, "content");
    }
  }

  /** A result without a value. */
  record Failed<T>(Failure reason) implements Result<T> {
    /** Checks that there is a failure. */
    public Failed {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Makes a result with a value.
   *
   * @param value the value
   * @return the result
   */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /**
   * Makes a result without a value.
   *
   * @param failure the reason
   * @return the result
   */
  static <T> Result<T> failed(Failure failure) {
    return new Failed<>(failure);
  }

  /**
   * Turns either case into one value.
   *
   * @param onSuccess used on the value
   * @param onFailure used on the failure
   * @return what the function that was used returned
   */
  default <R> R fold(Function<? super T, R> onSuccess, Function<Failure, R> onFailure) {
    if (this instanceof Success<T> success) {
      return onSuccess.apply(success.content());
    }
    return onFailure.apply(((Failed<T>) this).reason());
  }

  /**
   * Changes the value, and keeps a failure as it is.
   *
   * @param function used on the value
   * @return the changed result
   */
  default <R> Result<R> map(Function<? super T, R> function) {
    return fold(value -> success(function.apply(value)), Result::failed);
  }

  /**
   * Goes on with another operation, and keeps a failure as it is.
   *
   * @param function used on the value
   * @return the result of the other operation
   */
  default <R> Result<R> flatMap(Function<? super T, Result<R>> function) {
    return fold(function, Result::failed);
  }

  /**
   * Returns the value, if there is one.
   *
   * @return the value
   */
  default Optional<T> value() {
    return fold(Optional::of, failure -> Optional.empty());
  }

  /**
   * Returns the failure, if there is one.
   *
   * @return the failure
   */
  default Optional<Failure> failure() {
    return fold(value -> Optional.empty(), Optional::of);
  }
}
