package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.ReceivedRequest;
import io.samphiregauge.schema.standin.StreamEnding;
import java.util.ArrayList;
import java.util.List;

/** Records the completion requests that an engine receives, for assertions in tests. */
final class CompletionRecorder {
  private static final int MAX_RECORDED_REQUESTS = 100_000;
  private static final int MAX_BODY_CHARACTERS = 256;

  private final List<RecordedCompletion> completions = new ArrayList<>();

  /** One recorded completion; updated while its stream runs. */
  static final class RecordedCompletion {
    private final long receivedMs;
    private final String path;
    private final String body;
    private final int resumeFromToken;
    private int sentTokens;
    private StreamEnding ending = StreamEnding.RUNNING;

    private RecordedCompletion(HttpExchange exchange, int resumeFromToken) {
      String text = exchange.bodyText();
      this.receivedMs = StandinServer.nowMs();
      this.path = exchange.path();
      this.body = text.substring(0, Math.min(text.length(), MAX_BODY_CHARACTERS));
      this.resumeFromToken = resumeFromToken;
    }

    void countSentToken() {
      sentTokens++;
    }

    /** Sets how the stream ended; later calls have no effect. */
    void setEnding(StreamEnding finalEnding) {
      if (ending == StreamEnding.RUNNING) {
        ending = finalEnding;
      }
    }

    private ReceivedRequest toMessage() {
      return new ReceivedRequest(receivedMs, path, body, resumeFromToken, sentTokens, ending);
    }
  }

  /** Records a request; above the limit, returns a record that is not stored. */
  RecordedCompletion add(HttpExchange exchange, int resumeFromToken) {
    RecordedCompletion completion = new RecordedCompletion(exchange, resumeFromToken);
    if (completions.size() < MAX_RECORDED_REQUESTS) {
      completions.add(completion);
    }
    return completion;
  }

  List<ReceivedRequest> toMessages() {
    return completions.stream().map(RecordedCompletion::toMessage).toList();
  }
}
