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

/** Runs completion requests as token streams in the batch of an engine. */
final class CompletionHandler {
  private final ContinuousBatch batch;
  private final KvStore kvStore;
  private final Executor stateExecutor;
  private final Runnable onLoadChange;
  private final CompletionRecorder recorder = new CompletionRecorder();

  /**
   * @param stateExecutor runs tasks on the event loop that owns the engine's state
   * @param onLoadChange called after each change of the queued or running requests
   */
  CompletionHandler(
      ContinuousBatch batch, KvStore kvStore, Executor stateExecutor, Runnable onLoadChange) {
    this.batch = batch;
    this.kvStore = kvStore;
    this.stateExecutor = stateExecutor;
    this.onLoadChange = onLoadChange;
  }

  /**
   * Starts a completion, or responds with status 503 if the engine is unavailable or the body names
   * an unknown KV handle.
   *
   * @param unavailableReason returns why the engine refuses requests, or empty if it accepts them
   */
  void start(
      HttpExchange exchange, CompletionBody body, Supplier<Optional<String>> unavailableReason) {
    CompletionRecorder.RecordedCompletion recorded = recorder.add(exchange, body.resumeFromToken());
    Optional<String> reason = unavailableReason.get();
    Optional<KvBlock> imported = body.kvHandle().flatMap(kvStore::find);
    if (reason.isEmpty() && body.kvHandle().isPresent() && imported.isEmpty()) {
      reason = Optional.of("unknown_kv_handle");
    }
    if (reason.isPresent()) {
      recorded.setEnding(StreamEnding.REFUSED);
      refuse(exchange, reason.get());
      return;
    }
    TokenStream stream =
        body.prefillOnly()
            ? createPrefillStream(exchange, body, recorded)
            : createDecodeStream(exchange, body, recorded);
    imported.ifPresent(block -> stream.skipCachedPrompt(block.getPromptTokens()));
    exchange
        .channel()
        .closeFuture()
        .addListener(closed -> stateExecutor.execute(() -> cancel(stream, recorded)));
    batch.add(stream);
    onLoadChange.run();
  }

  /**
   * Ends all streams and resets their connections, as a crash or a role change does, and returns
   * the number of streams.
   */
  int interruptAll() {
    List<TokenStream> interrupted = batch.removeAll();
    interrupted.forEach(TokenStream::interrupt);
    onLoadChange.run();
    return interrupted.size();
  }

  List<ReceivedRequest> recordedRequests() {
    return recorder.toMessages();
  }

  private TokenStream createDecodeStream(
      HttpExchange exchange, CompletionBody body, CompletionRecorder.RecordedCompletion recorded) {
    SseWriter writer = SseWriter.open(exchange.channel());
    return new TokenStream(
        body,
        index -> {
          writer.writeToken(index, body.tokenText(index));
          recorded.countSentToken();
        },
        ending -> {
          recorded.setEnding(ending);
          if (ending == StreamEnding.FINISHED) {
            writer.writeEnd();
            onLoadChange.run();
          } else {
            exchange.resetConnection();
          }
        },
        writer::isWritable);
  }

  private TokenStream createPrefillStream(
      HttpExchange exchange, CompletionBody body, CompletionRecorder.RecordedCompletion recorded) {
    TokenStream[] self = new TokenStream[1];
    self[0] =
        new TokenStream(
            body,
            index -> {},
            ending -> {
              recorded.setEnding(ending);
              if (ending == StreamEnding.FINISHED) {
                exchange.respondOk(kvStore.add(self[0]));
                onLoadChange.run();
              } else {
                exchange.resetConnection();
              }
            },
            () -> true);
    return self[0];
  }

  private void cancel(TokenStream stream, CompletionRecorder.RecordedCompletion recorded) {
    batch.cancel(stream);
    recorded.setEnding(StreamEnding.CANCELLED);
    onLoadChange.run();
  }

  private static void refuse(HttpExchange exchange, String reason) {
    ErrorDetail detail =
        new ErrorDetail(reason, "The engine does not take the request.", Outcome.NOT_RUN);
    exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, new ErrorAnswer(detail));
  }
}
