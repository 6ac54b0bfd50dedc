package io.samphiregauge.gateway.control;

import io.samphiregauge.core.StorePosition;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.gateway.port.AppendResult;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import java.util.function.ToLongFunction;

/**
 * Watches the era of the store in its answers. A new era means that the store was restored from a
 * copy and has lost its newest records. Runs on the control thread.
 */
final class StoreEraWatch {
  private static final Logger LOG = System.getLogger(StoreEraWatch.class.getName());

  private final ControlThread control;
  private final List<LongConsumer> listeners = new ArrayList<>();
  private long newestEra = StorePosition.FIRST_ERA;
  private boolean eraKnown;

  StoreEraWatch(ControlThread control) {
    this.control = control;
  }

  /**
   * Adds a listener that is called when a newer era is seen than ever before, the first one
   * included.
   */
  void addListener(LongConsumer listener) {
    listeners.add(listener);
  }

  /** Returns a store that passes calls on and watches the answers. */
  SharedStore watch(SharedStore store) {
    return new SharedStore(
        topic -> watched(store.snapshotReader().read(topic), ReadResult::era),
        (topic, fromOffset, waitMs) ->
            watched(store.tailReader().read(topic, fromOffset, waitMs), ReadResult::era),
        (topic, value, expectedEndOffset) ->
            watched(store.appender().append(topic, value, expectedEndOffset), StoreEraWatch::eraOf),
        (topic, values, expectedEndOffset) ->
            watched(
                store.batchAppender().append(topic, values, expectedEndOffset),
                StoreEraWatch::eraOf),
        store.groupJoiner(),
        store.groupLeaver(),
        store.memberReader());
  }

  private static long eraOf(AppendResult result) {
    return result.position().era();
  }

  /** Returns the answer of a call, whose era is handled before the answer itself. */
  private <T> CompletableFuture<Result<T>> watched(
      CompletableFuture<Result<T>> call, ToLongFunction<? super T> era) {
    return call.thenApply(
        result -> {
          result.value().ifPresent(value -> control.post(() -> onEra(era.applyAsLong(value))));
          return result;
        });
  }

  private void onEra(long era) {
    if (eraKnown && era <= newestEra) {
      return;
    }
    if (eraKnown) {
      LOG.log(
          Level.WARNING,
          "event=store_restored era={0} previous={1}",
          Long.toString(era),
          Long.toString(newestEra));
    }
    eraKnown = true;
    newestEra = era;
    listeners.forEach(listener -> listener.accept(era));
  }
}
