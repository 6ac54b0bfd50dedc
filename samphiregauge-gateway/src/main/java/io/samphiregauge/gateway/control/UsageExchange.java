package io.samphiregauge.gateway.control;

import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.gateway.UsageRecord;
import io.samphiregauge.schema.peer.UsageNotice;
import io.samphiregauge.schema.peer.UsageStored;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Writes usage records: in a large group through an entry that reads the store and appends the
 * records of several entries with one call, otherwise, or if that does not confirm it, directly.
 * Records are cumulative, so that one that is written twice does no harm. Runs on the control
 * thread.
 */
final class UsageExchange {
  /** Time for which records are collected; a window is sealed 1.7 s after its end. */
  private static final long COLLECT_MS = 200;

  /** Time after which an entry without a confirmation appends its record itself. */
  private static final long ANSWER_MS = 700;

  private final ControlThread control;
  private final SharedStore store;
  private final Supplier<Optional<GroupMember>> reader;
  private final Runnable onSilent;
  private final List<Collected> collected = new ArrayList<>();
  private BiConsumer<String, PeerMessage> peerSender = (address, message) -> {};
  private Optional<Consumer<Boolean>> unconfirmed = Optional.empty();
  private long lastNumber;

  private record Collected(String address, UsageNotice notice) {}

  /**
   * Creates an exchange.
   *
   * @param control the control thread
   * @param store the store
   * @param reader returns the entry that appends records for this one; empty if it does so itself
   * @param onSilent runs when that entry has not answered
   */
  UsageExchange(
      ControlThread control,
      SharedStore store,
      Supplier<Optional<GroupMember>> reader,
      Runnable onSilent) {
    this.control = control;
    this.store = store;
    this.reader = reader;
    this.onSilent = onSilent;
  }

  void start(BiConsumer<String, PeerMessage> sender) {
    peerSender = sender;
  }

  /**
   * Writes a record directly.
   *
   * @param usage the record
   * @param whenDone receives whether it is in the store
   */
  void append(UsageRecord usage, Consumer<Boolean> whenDone) {
    append(List.of(usage), whenDone);
  }

  private void append(List<UsageRecord> records, Consumer<Boolean> whenDone) {
    List<StoreRecord> encoded =
        records.stream()
            .map(usage -> new StoreRecord("", Optional.of(Codec.json().encode(usage))))
            .toList();
    control.onResult(
        store.batchAppender().append(Topic.USAGE, encoded, OptionalLong.empty()),
        result -> whenDone.accept(result.value().isPresent()));
  }

  /**
   * Writes a record through a reader if there is one.
   *
   * @param usage the record
   * @param whenDone receives whether it is in the store
   */
  void write(UsageRecord usage, Consumer<Boolean> whenDone) {
    Optional<GroupMember> asked = reader.get();
    if (asked.isEmpty()) {
      append(usage, whenDone);
      return;
    }
    long number = ++lastNumber;
    unconfirmed = Optional.of(whenDone);
    peerSender.accept(asked.get().peerAddress(), new UsageNotice(number, usage));
    control.schedule(
        ANSWER_MS,
        () -> {
          if (number == lastNumber && unconfirmed.isPresent()) {
            unconfirmed = Optional.empty();
            onSilent.run();
            append(usage, whenDone);
          }
        });
  }

  /** Handles a message from another entry, unless it is about something else. */
  void onPeerMessage(String from, PeerMessage message) {
    if (message instanceof UsageNotice notice) {
      if (collected.isEmpty()) {
        control.schedule(COLLECT_MS, this::appendCollected);
      }
      collected.add(new Collected(from, notice));
    } else if (message instanceof UsageStored stored && stored.getNumber() == lastNumber) {
      Optional<Consumer<Boolean>> handler = unconfirmed;
      unconfirmed = Optional.empty();
      handler.ifPresent(done -> done.accept(true));
    }
  }

  private void appendCollected() {
    List<Collected> batch = List.copyOf(collected);
    collected.clear();
    append(
        batch.stream().map(entry -> entry.notice().getRecord()).toList(),
        stored -> {
          if (stored) {
            batch.forEach(
                entry ->
                    peerSender.accept(
                        entry.address(), new UsageStored(entry.notice().getNumber())));
          }
        });
  }
}
