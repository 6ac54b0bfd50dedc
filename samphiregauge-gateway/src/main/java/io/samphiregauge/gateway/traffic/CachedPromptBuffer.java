package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.dispatch.PromptPart;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.schema.peer.CachedPrompt;
import java.util.ArrayList;
import java.util.List;

/** The long shared prompts that servers have read since other entries were last told. */
final class CachedPromptBuffer {
  /** Most prompts in a message; what is left out costs at most one more reading. */
  private static final int MAX_PROMPTS = 64;

  private final List<CachedPrompt> pending = new ArrayList<>();

  void add(ServerLoad load, Prompt prompt) {
    if (prompt.isWorthFetching() && pending.size() < MAX_PROMPTS) {
      List<PromptPart> parts = prompt.sharedParts();
      pending.add(
          new CachedPrompt(
              load.key(),
              parts.stream().map(PromptPart::id).toList(),
              parts.stream().map(PromptPart::tokens).toList()));
    }
  }

  /** Returns what was added since the last call. */
  List<CachedPrompt> drain() {
    List<CachedPrompt> drained = List.copyOf(pending);
    pending.clear();
    return drained;
  }

  static List<PromptPart> toPromptParts(CachedPrompt prompt) {
    int count = Math.min(prompt.getParts().size(), prompt.getTokens().size());
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      parts.add(new PromptPart(prompt.getParts().get(i), prompt.getTokens().get(i)));
    }
    return parts;
  }
}
