package io.samphiregauge.core.log;

import io.samphiregauge.core.log.FoldedState.WindowKey;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.MissingUsage;
import io.samphiregauge.schema.record.UsageReportIntent;
import io.samphiregauge.schema.record.UsageReported;
import io.samphiregauge.schema.record.UsageSealed;
import io.samphiregauge.schema.record.WindowState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Applies records that seal and report usage windows. A window is sealed once; later seals of the
 * same window are rejected.
 */
final class UsageFold {
  private UsageFold() {}

  static WindowKey keyOf(UsageSealed sealed) {
    return new WindowKey(sealed.getRegion(), sealed.getWindow());
  }

  static Result<FoldedState> seal(
      FoldedState state, long offset, Incarnation writer, UsageSealed sealed) {
    String role = "usage/" + sealed.getRegion();
    if (!LeaseFold.holds(state, role, sealed.getToken(), writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, sealed.getToken()));
    }
    long last = state.lastSealedWindows().getOrDefault(sealed.getRegion(), Long.MIN_VALUE);
    if (sealed.getWindow() <= last) {
      return Result.failed(
          new RecordFailure.NotAllowed(
              "Window %d is not newer than window %d, the last sealed one."
                  .formatted(sealed.getWindow(), last)));
    }
    WindowState window = new WindowState(offset, sealed, false, false);
    return Result.success(
        state
            .withWindows(
                FoldedState.copyWith(state.windows(), keyOf(sealed), window),
                FoldedState.copyWith(
                    state.lastSealedWindows(), sealed.getRegion(), sealed.getWindow()))
            .withMissingUsage(updateMissingUsage(state, sealed)));
  }

  private static List<MissingUsage> updateMissingUsage(FoldedState state, UsageSealed sealed) {
    List<MissingUsage> missing = new ArrayList<>(state.missingUsage());
    missing.removeAll(sealed.getCorrected().orElse(List.of()));
    missing.addAll(sealed.getMissing().orElse(List.of()));
    return missing;
  }

  static Result<FoldedState> markReportIntended(
      FoldedState state, Incarnation writer, UsageReportIntent intent) {
    WindowKey key = new WindowKey(intent.getRegion(), intent.getWindow());
    return findOpenWindow(state, writer, key, intent.getToken())
        .map(w -> new WindowState(w.getOffset(), w.getSealed(), true, false))
        .map(
            w ->
                state.withWindows(
                    FoldedState.copyWith(state.windows(), key, w), state.lastSealedWindows()));
  }

  static Result<FoldedState> removeReported(
      FoldedState state, Incarnation writer, UsageReported reported) {
    WindowKey key = new WindowKey(reported.getRegion(), reported.getWindow());
    return findOpenWindow(state, writer, key, reported.getToken())
        .map(
            w ->
                state.withWindows(
                    FoldedState.copyWithout(state.windows(), key), state.lastSealedWindows()));
  }

  private static Result<WindowState> findOpenWindow(
      FoldedState state, Incarnation writer, WindowKey key, long token) {
    String role = "usage/" + key.region();
    if (!LeaseFold.holds(state, role, token, writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, token));
    }
    return Optional.ofNullable(state.windows().get(key))
        .<Result<WindowState>>map(Result::success)
        .orElseGet(
            () ->
                Result.failed(
                    new RecordFailure.NotAllowed(
                        "Window %d has no seal that is waiting to be reported."
                            .formatted(key.window()))));
  }
}
