package io.samphiregauge.verify;

import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.verify.Observation.Folded;
import io.samphiregauge.verify.Observation.Held;
import io.samphiregauge.verify.Observation.KeyAccepted;
import io.samphiregauge.verify.Observation.KeyWithdrawn;
import io.samphiregauge.verify.Observation.NoteDue;
import io.samphiregauge.verify.Observation.OrderApplied;
import io.samphiregauge.verify.Observation.PieceShared;
import io.samphiregauge.verify.Observation.ReportArrived;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Promises about authority and configuration. */
final class LogInvariants {
  /** Bound for an entry with log contact. */
  private static final long REFUSED_CONNECTED_MS = 2_000;

  /** Bound for all others: 3 s of freshness on the slowest clock, and the time of one request. */
  private static final long REFUSED_MS = 4_000;

  static final List<Invariant.Named> ALL =
      List.of(
          new Invariant.Named(3, "one_holder", () -> LogInvariants::oneHolder),
          new Invariant.Named(1, "orders_in_sequence", LogInvariants::ordersInSequence),
          new Invariant.Named(6, "one_figure_per_window", LogInvariants::oneFigure),
          new Invariant.Named(0, "one_user_per_piece", () -> LogInvariants::oneUser),
          new Invariant.Named(12, "never_reverts", LogInvariants::neverReverts),
          new Invariant.Named(12, "in_force_in_time", () -> LogInvariants::inForce),
          new Invariant.Named(4, "withdrawn_key_refused", LogInvariants::withdrawnKeyRefused));

  private LogInvariants() {}

  private static Optional<String> oneHolder(Observation seen) {
    return seen instanceof Held held && held.holders().size() > 1
        ? Optional.of(
            held.role() + " is held by " + held.holders().stream().map(Observation::name).toList())
        : Optional.empty();
  }

  /** An order that takes effect after a later one conflicts with it, or has lost its authority. */
  private static Invariant ordersInSequence() {
    Map<String, Long> highest = new HashMap<>();
    return seen -> {
      if (!(seen instanceof OrderApplied order)) {
        return Optional.empty();
      }
      long before = highest.merge(order.target(), order.intentOffset(), Math::max);
      return before > order.intentOffset()
          ? Optional.of(
              "%s applied order %d after order %d"
                  .formatted(order.target(), order.intentOffset(), before))
          : Optional.empty();
    };
  }

  private static Invariant oneFigure() {
    Map<Long, UsageReport> first = new HashMap<>();
    return seen -> {
      if (!(seen instanceof ReportArrived arrived)) {
        return Optional.empty();
      }
      UsageReport report = arrived.report();
      return Optional.ofNullable(first.putIfAbsent(report.getWindow(), report))
          .filter(before -> !before.equals(report))
          .map(
              before ->
                  "window %d was reported under the keys %d and %d, with the figures %s and %s"
                      .formatted(
                          report.getWindow(),
                          before.getIdempotencyKey(),
                          report.getIdempotencyKey(),
                          requests(before),
                          requests(report)));
    };
  }

  private static long requests(UsageReport report) {
    return report.getFigures().stream().mapToLong(UsageFigure::getRequests).sum();
  }

  private static Optional<String> oneUser(Observation seen) {
    return seen instanceof PieceShared shared
        ? Optional.of(
            "piece %d is used by %s and %s"
                .formatted(
                    shared.piece(),
                    Observation.name(shared.first()),
                    Observation.name(shared.second())))
        : Optional.empty();
  }

  private static Invariant neverReverts() {
    Map<Incarnation, Folded> last = new HashMap<>();
    return seen -> {
      if (!(seen instanceof Folded now)) {
        return Optional.empty();
      }
      return Optional.ofNullable(last.put(now.by(), now))
          .filter(b -> b.offset() > now.offset() || b.noteOffset() > now.noteOffset())
          .map(
              before ->
                  "%s went back from offset %d, note %d to offset %d, note %d"
                      .formatted(
                          Observation.name(now.by()),
                          before.offset(),
                          before.noteOffset(),
                          now.offset(),
                          now.noteOffset()));
    };
  }

  private static Optional<String> inForce(Observation seen) {
    return seen instanceof NoteDue due && due.heldNoteOffset() < due.noteOffset()
        ? Optional.of(
            "%s holds the note at %d; the one at %d is not in force"
                .formatted(Observation.name(due.at()), due.heldNoteOffset(), due.noteOffset()))
        : Optional.empty();
  }

  private static Invariant withdrawnKeyRefused() {
    Map<String, Long> withdrawnMs = new HashMap<>();
    return seen -> {
      if (seen instanceof KeyWithdrawn withdrawn) {
        withdrawnMs.put(withdrawn.key(), withdrawn.atMs());
      }
      if (!(seen instanceof KeyAccepted accepted) || !withdrawnMs.containsKey(accepted.key())) {
        return Optional.empty();
      }
      long sinceMs = withdrawnMs.get(accepted.key());
      boolean connected = accepted.undisturbedSinceMs() <= sinceMs;
      long boundMs = connected ? REFUSED_CONNECTED_MS : REFUSED_MS;
      return accepted.atMs() - sinceMs > boundMs
          ? Optional.of(
              "%s accepted %s %d ms after it was withdrawn; the bound is %d ms"
                  .formatted(
                      Observation.name(accepted.by()),
                      accepted.key(),
                      accepted.atMs() - sinceMs,
                      boundMs))
          : Optional.empty();
    };
  }
}
