package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.KvBlock;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** KV cache of processed prompts, for export to and import from other engines. */
final class KvStore {
  private final String engine;
  private final Map<String, KvBlock> blocks = new HashMap<>();
  private long lastNumber;

  KvStore(String engine) {
    this.engine = engine;
  }

  KvBlock add(Stream stream) {
    lastNumber++;
    String handle = "%s-%d".formatted(engine, lastNumber);
    KvBlock block =
        new KvBlock(handle, stream.request.model(), stream.request.promptTokens(), stream.prefixes);
    blocks.put(handle, block);
    return block;
  }

  void add(KvBlock block) {
    blocks.put(block.getHandle(), block);
  }

  Optional<KvBlock> find(String handle) {
    return Optional.ofNullable(blocks.get(handle));
  }

  void clear() {
    blocks.clear();
  }
}
