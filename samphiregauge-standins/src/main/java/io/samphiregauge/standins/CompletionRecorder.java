package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.ReceivedRequest;
import io.samphiregauge.schema.standin.StreamEnding;
import java.util.ArrayList;
import java.util.List;

/** Completions that an engine has received, for tests to judge. */
final class CompletionRecorder {
  private static final int MAX_RECORDED_REQUESTS = 100_000;
  private static final int MAX_BODY_CHARACTERS = 256;

  private final List<RecordedCompletion> completions = new ArrayList<>();

  /** One completion; changes while it runs. */
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

    /** Sets how the stream has ended; the first call counts. */
    void setEnding(StreamEnding finalEnding) {
      if (ending == StreamEnding.RUNNING) {
        ending = finalEnding;
      }
    }

    private ReceivedRequest toMessage() {
      return new ReceivedRequest(receivedMs, path, body, resumeFromToken, sentTokens, ending);
    }
  }

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
