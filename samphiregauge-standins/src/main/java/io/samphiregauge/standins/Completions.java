package io.samphiregauge.standins;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.samphiregauge.schema.entry.ErrorAnswer;
import io.samphiregauge.schema.entry.ErrorDetail;
import io.samphiregauge.schema.entry.Outcome;
import io.samphiregauge.schema.platform.KvBlock;
import io.samphiregauge.schema.standin.ReceivedRequest;
import io.samphiregauge.schema.standin.StreamEnding;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/** Turns completions into streams of the batch. */
final class Completions {
  private final Batch batch;
  private final KvStore kv;
  private final Executor owner;
  private final Runnable onChange;
  private final EngineRequests requests = new EngineRequests();

  /**
   * @param owner runs tasks on the owner of the engine's state
   * @param onChange called after each change of the load
   */
  Completions(Batch batch, KvStore kv, Executor owner, Runnable onChange) {
    this.batch = batch;
    this.kv = kv;
    this.owner = owner;
    this.onChange = onChange;
  }

  /**
   * Starts a completion.
   *
   * @param unavailable reason why the engine takes no request at the moment
   */
  void start(Call call, CompletionBody body, Supplier<Optional<String>> unavailable) {
    EngineRequests.Entry entry = requests.add(call, body.resumeFromToken());
    Optional<String> reason = unavailable.get();
    Optional<KvBlock> imported = body.kvHandle().flatMap(kv::find);
    if (reason.isEmpty() && body.kvHandle().isPresent() && imported.isEmpty()) {
      reason = Optional.of("unknown_kv_handle");
    }
    if (reason.isPresent()) {
      entry.end(StreamEnding.REFUSED);
      refuse(call, reason.get());
      return;
    }
    Stream stream = body.prefillOnly() ? prefill(call, body, entry) : decode(call, body, entry);
    imported.ifPresent(block -> stream.skipPrompt(block.getPromptTokens()));
    call.channel().closeFuture().addListener(closed -> owner.execute(() -> cancel(stream, entry)));
    batch.add(stream);
    onChange.run();
  }

  /** Marks the end of all streams that a crash or a change of the role cuts. */
  int interruptAll() {
    List<Stream> cut = batch.clear();
    cut.forEach(Stream::interrupt);
    onChange.run();
    return cut.size();
  }

  List<ReceivedRequest> received() {
    return requests.toMessages();
  }

  private Stream decode(Call call, CompletionBody body, EngineRequests.Entry entry) {
    EventStream events = EventStream.open(call.channel());
    return new Stream(
        body,
        index -> {
          events.token(index, body.token(index));
          entry.sent();
        },
        ending -> {
          entry.end(ending);
          if (ending == StreamEnding.FINISHED) {
            events.end();
            onChange.run();
          } else {
            call.sever();
          }
        },
        events::isWritable);
  }

  private Stream prefill(Call call, CompletionBody body, EngineRequests.Entry entry) {
    Stream[] self = new Stream[1];
    self[0] =
        new Stream(
            body,
            index -> {},
            ending -> {
              entry.end(ending);
              if (ending == StreamEnding.FINISHED) {
                call.ok(kv.add(self[0]));
                onChange.run();
              } else {
                call.sever();
              }
            },
            () -> true);
    return self[0];
  }

  private void cancel(Stream stream, EngineRequests.Entry entry) {
    batch.cancel(stream);
    entry.end(StreamEnding.CANCELLED);
    onChange.run();
  }

  private static void refuse(Call call, String reason) {
    ErrorDetail detail =
        new ErrorDetail(reason, "The engine does not take the request.", Outcome.NOT_RUN);
    call.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, new ErrorAnswer(detail));
  }
}
