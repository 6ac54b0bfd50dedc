package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.dispatch.Prompt;
import io.samphiregauge.core.dispatch.PromptPart;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.schema.peer.CachedPrompt;
import java.util.ArrayList;
import java.util.List;

/**
 * Buffers the prompts that servers have prefilled for this entry until the next message to the
 * other entries. Only prompts with a shared part worth fetching are reported. Confined to one event
 * loop.
 */
final class CachedPromptBuffer {
  /** Maximum prompts per message; an omitted one costs at most one additional prefill. */
  private static final int MAX_PROMPTS = 64;

  private final List<CachedPrompt> pending = new ArrayList<>();

  /** Adds a prompt that a server has prefilled, if it is long enough and the buffer not full. */
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

  /** Removes and returns the buffered prompts. */
  List<CachedPrompt> drain() {
    List<CachedPrompt> drained = List.copyOf(pending);
    pending.clear();
    return drained;
  }

  /** Returns the parts in a message; if its two lists differ in length, the excess is ignored. */
  static List<PromptPart> toPromptParts(CachedPrompt prompt) {
    int count = Math.min(prompt.getParts().size(), prompt.getTokens().size());
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      parts.add(new PromptPart(prompt.getParts().get(i), prompt.getTokens().get(i)));
    }
    return parts;
  }
}
