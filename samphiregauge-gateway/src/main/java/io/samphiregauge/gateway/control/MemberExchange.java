package io.samphiregauge.gateway.control;

import io.samphiregauge.gateway.GroupMember;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.MembersQuery;
import io.samphiregauge.schema.peer.MembersReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Gets the members of the group: in a large group from an entry that reads the store, otherwise, or
 * if that does not answer, from the store. A reader answers all entries that ask for the same
 * generation with one read. Runs on the control thread.
 */
final class MemberExchange {
  /** Time after which a silent reader is replaced by the store. */
  private static final long ANSWER_MS = 400;

  private final ControlThread control;
  private final SharedStore store;
  private final Supplier<Optional<GroupMember>> reader;
  private final Runnable onSilent;
  private BiConsumer<String, PeerMessage> peerSender = (address, message) -> {};
  private final List<Waiting> waiting = new ArrayList<>();
  private Optional<MembersReply> lastRead = Optional.empty();
  private Optional<Consumer<List<String>>> ownWait = Optional.empty();
  private long ownGeneration;
  private long queries;
  private boolean readPending;

  private record Waiting(String address, long generation) {}

  /**
   * Creates an exchange.
   *
   * @param control the control thread
   * @param store the store
   * @param reader returns the entry to ask; empty if this entry reads the store itself
   * @param onSilent runs when that entry has not answered
   */
  MemberExchange(
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
   * Gets the members.
   *
   * @param generation generation of the group that they must have at least
   * @param handler receives the encoded members; not called if the store cannot be read
   */
  void read(long generation, Consumer<List<String>> handler) {
    Optional<GroupMember> asked = reader.get();
    if (asked.isEmpty()) {
      readStore(generation, handler);
      return;
    }
    long number = ++queries;
    ownGeneration = generation;
    ownWait = Optional.of(handler);
    peerSender.accept(asked.get().peerAddress(), new MembersQuery(generation));
    control.schedule(
        ANSWER_MS,
        () -> {
          if (number == queries && ownWait.isPresent()) {
            ownWait = Optional.empty();
            onSilent.run();
            readStore(generation, handler);
          }
        });
  }

  private void readStore(long generation, Consumer<List<String>> handler) {
    control.onResult(
        store.memberReader().read(),
        result ->
            result
                .value()
                .ifPresent(
                    texts -> {
                      lastRead = Optional.of(new MembersReply(generation, texts));
                      handler.accept(texts);
                    }));
  }

  /** Handles a message from another entry, unless it is about something else. */
  void onPeerMessage(String from, PeerMessage message) {
    if (message instanceof MembersQuery query) {
      answer(new Waiting(from, query.getGeneration()));
    } else if (message instanceof MembersReply reply) {
      onReply(reply);
    }
  }

  private void onReply(MembersReply reply) {
    if (reply.getGeneration() >= ownGeneration) {
      Optional<Consumer<List<String>>> handler = ownWait;
      ownWait = Optional.empty();
      handler.ifPresent(waitingHandler -> waitingHandler.accept(reply.getMembers()));
    }
  }

  private void answer(Waiting query) {
    Optional<MembersReply> known =
        lastRead.filter(read -> read.getGeneration() >= query.generation());
    if (known.isPresent()) {
      peerSender.accept(query.address(), known.get());
      return;
    }
    waiting.add(query);
    readForOthers();
  }

  /** Reads the store once for all that wait; those who ask meanwhile may need a later read. */
  private void readForOthers() {
    if (readPending) {
      return;
    }
    readPending = true;
    long generation = waiting.stream().mapToLong(Waiting::generation).max().orElse(0);
    control.onResult(
        store.memberReader().read(),
        result -> {
          readPending = false;
          if (result.value().isEmpty()) {
            // Those who wait read the store themselves.
            waiting.clear();
            return;
          }
          MembersReply reply = new MembersReply(generation, result.value().get());
          lastRead = Optional.of(reply);
          waiting.stream()
              .filter(query -> query.generation() <= generation)
              .forEach(query -> peerSender.accept(query.address(), reply));
          waiting.removeIf(query -> query.generation() <= generation);
          if (!waiting.isEmpty()) {
            readForOthers();
          }
        });
  }
}
