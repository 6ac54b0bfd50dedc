package io.samphiregauge.standins;

import io.samphiregauge.schema.standin.ReceivedRequest;
import io.samphiregauge.schema.standin.StreamEnding;
import java.util.ArrayList;
import java.util.List;

/** Completions that an engine has received, for tests to judge. */
final class EngineRequests {
  private static final int MAX_KEPT_REQUESTS = 100_000;
  private static final int MAX_KEPT_CHARACTERS = 256;

  private final List<Entry> entries = new ArrayList<>();

  /** One completion; changes while it runs. */
  static final class Entry {
    private final long atMs;
    private final String path;
    private final String body;
    private final int resumeFromToken;
    private int sentTokens;
    private StreamEnding ending = StreamEnding.RUNNING;

    private Entry(Call call, int resumeFromToken) {
      String text = call.text();
      this.atMs = StandinServer.nowMs();
      this.path = call.path();
      this.body = text.substring(0, Math.min(text.length(), MAX_KEPT_CHARACTERS));
      this.resumeFromToken = resumeFromToken;
    }

    void sent() {
      sentTokens++;
    }

    /** Sets how the stream has ended; the first call counts. */
    void end(StreamEnding how) {
      if (ending == StreamEnding.RUNNING) {
        ending = how;
      }
    }

    private ReceivedRequest toMessage() {
      return new ReceivedRequest(atMs, path, body, resumeFromToken, sentTokens, ending);
    }
  }

  Entry add(Call call, int resumeFromToken) {
    Entry entry = new Entry(call, resumeFromToken);
    if (entries.size() < MAX_KEPT_REQUESTS) {
      entries.add(entry);
    }
    return entry;
  }

  List<ReceivedRequest> toMessages() {
    return entries.stream().map(Entry::toMessage).toList();
  }
}
