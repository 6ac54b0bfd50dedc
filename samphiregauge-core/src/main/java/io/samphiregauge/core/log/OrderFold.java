package io.samphiregauge.core.log;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LastOrderer;
import io.samphiregauge.schema.record.OpenIntent;
import io.samphiregauge.schema.record.OrderDone;
import io.samphiregauge.schema.record.OrderIntent;
import io.samphiregauge.schema.record.ProcessState;
import java.util.Map;
import java.util.TreeMap;

/** Applies records of order intents and their results. */
final class OrderFold {
  private OrderFold() {}

  static Result<FoldedState> openIntent(
      FoldedState state, long offset, Incarnation writer, OrderIntent intent) {
    String role = fleetRoleOf(state, writer);
    if (!LeaseFold.holds(state, role, intent.getToken(), writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, intent.getToken()));
    }
    LastOrderer orderer = new LastOrderer(intent.getTarget(), writer, intent.getToken());
    return Result.success(
        state
            .withOpenIntents(
                FoldedState.copyWith(state.openIntents(), offset, new OpenIntent(offset, intent)))
            .withLastOrderers(
                FoldedState.copyWith(state.lastOrderers(), intent.getTarget(), orderer)));
  }

  static Result<FoldedState> closeIntent(FoldedState state, Incarnation writer, OrderDone done) {
    String role = fleetRoleOf(state, writer);
    if (!LeaseFold.holds(state, role, done.getToken(), writer)) {
      return Result.failed(new RecordFailure.StaleToken(role, done.getToken()));
    }
    if (!state.openIntents().containsKey(done.getIntentOffset())) {
      return Result.failed(
          new RecordFailure.NotAllowed(
              "No open order intent at offset %d.".formatted(done.getIntentOffset())));
    }
    return Result.success(
        state.withOpenIntents(
            FoldedState.copyWithout(state.openIntents(), done.getIntentOffset())));
  }

  /**
   * Removes a lease holder from {@link FoldedState#lastOrderers}. Called when it has released its
   * lease, as it then has no orders in flight.
   */
  static FoldedState removeOrderer(FoldedState state, Incarnation holder, long token) {
    Map<String, LastOrderer> remaining = new TreeMap<>(state.lastOrderers());
    remaining.values().removeIf(o -> o.getHolder().equals(holder) && o.getToken() == token);
    return state.withLastOrderers(remaining);
  }

  static String fleetRoleOf(FoldedState state, Incarnation writer) {
    return "fleet/" + regionOf(state, writer);
  }

  static String regionOf(FoldedState state, Incarnation writer) {
    return state
        .process(writer.getVm())
        .map(ProcessState::getJoined)
        .map(joined -> joined.getRegion())
        .orElse("");
  }
}
