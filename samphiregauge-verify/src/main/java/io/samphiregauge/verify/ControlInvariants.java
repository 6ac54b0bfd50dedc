package io.samphiregauge.verify;

import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.verify.Observation.FoldProgress;
import io.samphiregauge.verify.Observation.KeyAccepted;
import io.samphiregauge.verify.Observation.KeyWithdrawn;
import io.samphiregauge.verify.Observation.NoteDeadline;
import io.samphiregauge.verify.Observation.OrderApplied;
import io.samphiregauge.verify.Observation.PieceShared;
import io.samphiregauge.verify.Observation.RoleHolders;
import io.samphiregauge.verify.Observation.UsageReported;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Invariants of leases, orders, usage reports, pieces and configuration. */
final class ControlInvariants {
  /** Maximum time for which an entry with log contact may still accept a withdrawn key. */
  private static final long CONNECTED_WITHDRAWAL_LIMIT_MS = 2_000;

  /**
   * Maximum time for which any other entry may still accept a withdrawn key: 3 s of freshness on
   * the slowest clock, plus the time of one request.
   */
  private static final long WITHDRAWAL_LIMIT_MS = 4_000;

  static final List<Invariant.Definition> ALL =
      List.of(
          new Invariant.Definition(3, "one_holder", () -> ControlInvariants::atMostOneHolder),
          new Invariant.Definition(1, "orders_in_sequence", ControlInvariants::ordersInSequence),
          new Invariant.Definition(
              6, "one_figure_per_window", ControlInvariants::oneReportPerWindow),
          new Invariant.Definition(
              0, "one_user_per_piece", () -> ControlInvariants::oneProcessPerPiece),
          new Invariant.Definition(12, "never_reverts", ControlInvariants::neverReverts),
          new Invariant.Definition(
              12, "in_force_in_time", () -> ControlInvariants::noteInForceInTime),
          new Invariant.Definition(
              4, "withdrawn_key_refused", ControlInvariants::withdrawnKeyRefused));

  private ControlInvariants() {}

  private static Optional<String> atMostOneHolder(Observation observation) {
    return observation instanceof RoleHolders roleHolders && roleHolders.holders().size() > 1
        ? Optional.of(
            roleHolders.role()
                + " is held by "
                + roleHolders.holders().stream().map(Observation::processName).toList())
        : Optional.empty();
  }

  /**
   * Checks that each target applies orders by increasing intent offset. An order that takes effect
   * after a later one conflicts with it, or its sender has lost the lease.
   */
  private static Invariant ordersInSequence() {
    Map<String, Long> highest = new HashMap<>();
    return observation -> {
      if (!(observation instanceof OrderApplied applied)) {
        return Optional.empty();
      }
      long previous = highest.merge(applied.target(), applied.intentOffset(), Math::max);
      return previous > applied.intentOffset()
          ? Optional.of(
              "%s applied order %d after order %d"
                  .formatted(applied.target(), applied.intentOffset(), previous))
          : Optional.empty();
    };
  }

  private static Invariant oneReportPerWindow() {
    Map<Long, UsageReport> firstReports = new HashMap<>();
    return observation -> {
      if (!(observation instanceof UsageReported reported)) {
        return Optional.empty();
      }
      UsageReport report = reported.report();
      return Optional.ofNullable(firstReports.putIfAbsent(report.getWindow(), report))
          .filter(previous -> !previous.equals(report))
          .map(
              previous ->
                  "window %d was reported with keys %d and %d and request counts %s and %s"
                      .formatted(
                          report.getWindow(),
                          previous.getIdempotencyKey(),
                          report.getIdempotencyKey(),
                          requestCount(previous),
                          requestCount(report)));
    };
  }

  private static long requestCount(UsageReport report) {
    return report.getFigures().stream().mapToLong(UsageFigure::getRequests).sum();
  }

  private static Optional<String> oneProcessPerPiece(Observation observation) {
    return observation instanceof PieceShared pieceShared
        ? Optional.of(
            "piece %d is used by %s and %s"
                .formatted(
                    pieceShared.piece(),
                    Observation.processName(pieceShared.first()),
                    Observation.processName(pieceShared.second())))
        : Optional.empty();
  }

  private static Invariant neverReverts() {
    Map<Incarnation, FoldProgress> lastProgress = new HashMap<>();
    return observation -> {
      if (!(observation instanceof FoldProgress progress)) {
        return Optional.empty();
      }
      return Optional.ofNullable(lastProgress.put(progress.process(), progress))
          .filter(
              previous ->
                  previous.offset() > progress.offset()
                      || previous.noteOffset() > progress.noteOffset())
          .map(
              previous ->
                  "%s reverted from offset %d, note %d to offset %d, note %d"
                      .formatted(
                          Observation.processName(progress.process()),
                          previous.offset(),
                          previous.noteOffset(),
                          progress.offset(),
                          progress.noteOffset()));
    };
  }

  private static Optional<String> noteInForceInTime(Observation observation) {
    return observation instanceof NoteDeadline deadline
            && deadline.appliedNoteOffset() < deadline.noteOffset()
        ? Optional.of(
            "%s has applied notes up to offset %d; the note at offset %d is not in force"
                .formatted(
                    Observation.processName(deadline.process()),
                    deadline.appliedNoteOffset(),
                    deadline.noteOffset()))
        : Optional.empty();
  }

  private static Invariant withdrawnKeyRefused() {
    Map<String, Long> withdrawnMs = new HashMap<>();
    return observation -> {
      if (observation instanceof KeyWithdrawn keyWithdrawn) {
        withdrawnMs.put(keyWithdrawn.key(), keyWithdrawn.atMs());
      }
      if (!(observation instanceof KeyAccepted keyAccepted)
          || !withdrawnMs.containsKey(keyAccepted.key())) {
        return Optional.empty();
      }
      long withdrawnAtMs = withdrawnMs.get(keyAccepted.key());
      boolean hadLogContact = keyAccepted.faultFreeSinceMs() <= withdrawnAtMs;
      long limitMs = hadLogContact ? CONNECTED_WITHDRAWAL_LIMIT_MS : WITHDRAWAL_LIMIT_MS;
      return keyAccepted.atMs() - withdrawnAtMs > limitMs
          ? Optional.of(
              "%s accepted %s %d ms after its withdrawal; the limit is %d ms"
                  .formatted(
                      Observation.processName(keyAccepted.process()),
                      keyAccepted.key(),
                      keyAccepted.atMs() - withdrawnAtMs,
                      limitMs))
          : Optional.empty();
    };
  }
}
