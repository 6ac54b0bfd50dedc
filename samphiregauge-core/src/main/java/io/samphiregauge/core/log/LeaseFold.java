package io.samphiregauge.core.log;

import static io.samphiregauge.core.log.FoldedState.NO_OFFSET;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LeaseClaim;
import io.samphiregauge.schema.record.LeaseRelease;
import io.samphiregauge.schema.record.LeaseRenewal;
import io.samphiregauge.schema.record.LeaseState;

/** Applies records that claim, renew or release a lease. */
final class LeaseFold {
  private LeaseFold() {}

  /** Returns whether the writer holds the lease of a role under the given fencing token. */
  static boolean holds(FoldedState state, String role, long token, Incarnation writer) {
    return state.isCurrentToken(role, token)
        && state.lease(role).filter(lease -> lease.getHolder().equals(writer)).isPresent();
  }

  static Result<FoldedState> claim(
      FoldedState state, long offset, Incarnation writer, LeaseClaim claim) {
    String role = claim.getRole();
    long lastOffset = state.lease(role).map(LeaseState::getLastOffset).orElse(NO_OFFSET);
    if (claim.getSupersedesOffset() != lastOffset) {
      return Result.failed(
          new RecordFailure.StaleClaim(role, claim.getSupersedesOffset(), lastOffset));
    }
    return Result.success(
        state.withLease(
            new LeaseState(role, offset, offset, claim.getDurationMs(), false, writer)));
  }

  static Result<FoldedState> renew(
      FoldedState state, long offset, Incarnation writer, LeaseRenewal renewal) {
    return updateHeldLease(state, offset, writer, renewal.getRole(), renewal.getToken(), false);
  }

  static Result<FoldedState> release(
      FoldedState state, long offset, Incarnation writer, LeaseRelease release) {
    return updateHeldLease(state, offset, writer, release.getRole(), release.getToken(), true)
        .map(next -> OrderFold.removeOrderer(next, writer, release.getToken()));
  }

  private static Result<FoldedState> updateHeldLease(
      FoldedState state,
      long offset,
      Incarnation writer,
      String role,
      long token,
      boolean released) {
    if (!holds(state, role, token, writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, token));
    }
    LeaseState lease = state.lease(role).orElseThrow();
    return Result.success(
        state.withLease(
            new LeaseState(role, token, offset, lease.getDurationMs(), released, writer)));
  }
}
