package io.samphiregauge.core.result;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * The result of an operation: either a value or a {@link Failure}.
 *
 * <pre>{@code
 * String text = Notes.apply(view, note).fold(View::summary, Failure::message);
 * }</pre>
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {
  /** The result of a successful operation. */
  record Success<T>(T content) implements Result<T> {
    /** Rejects a null value. */
    public Success {
      Objects.requireNonNull(content, "content");
    }
  }

  /** The result of a failed operation. */
  record Failed<T>(Failure reason) implements Result<T> {
    /** Rejects a null failure. */
    public Failed {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Creates a successful result.
   *
   * @param value the value
   * @return the result
   */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /**
   * Creates a failed result.
   *
   * @param failure reason of the failure
   * @return the result
   */
  static <T> Result<T> failed(Failure failure) {
    return new Failed<>(failure);
  }

  /**
   * Maps the value or the failure to a single type.
   *
   * @param onSuccess applied to the value
   * @param onFailure applied to the failure
   * @return the result of the function that was applied
   */
  default <R> R fold(Function<? super T, R> onSuccess, Function<Failure, R> onFailure) {
    if (this instanceof Success<T> success) {
      return onSuccess.apply(success.content());
    }
    return onFailure.apply(((Failed<T>) this).reason());
  }

  /**
   * Maps the value; a failure is returned unchanged.
   *
   * @param function applied to the value
   * @return the mapped result
   */
  default <R> Result<R> map(Function<? super T, R> function) {
    return fold(value -> success(function.apply(value)), Result::failed);
  }

  /**
   * Chains another operation on the value; a failure is returned unchanged.
   *
   * @param function operation to apply to the value
   * @return the result of that operation, or this failure
   */
  default <R> Result<R> flatMap(Function<? super T, Result<R>> function) {
    return fold(function, Result::failed);
  }

  /**
   * Returns the value of a successful result.
   *
   * @return the value, or empty after a failure
   */
  default Optional<T> value() {
    return fold(Optional::of, failure -> Optional.empty());
  }

  /**
   * Returns the failure of a failed result.
   *
   * @return the failure, or empty after a success
   */
  default Optional<Failure> failure() {
    return fold(value -> Optional.empty(), Optional::of);
  }
}
