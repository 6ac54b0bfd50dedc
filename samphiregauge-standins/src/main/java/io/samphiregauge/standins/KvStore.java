package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.KvBlock;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** KV cache of processed prompts, for export to and import from other engines. */
final class KvStore {
  private final String engineName;
  private final Map<String, KvBlock> blocks = new HashMap<>();
  private long lastHandleNumber;

  KvStore(String engineName) {
    this.engineName = engineName;
  }

  KvBlock add(TokenStream stream) {
    lastHandleNumber++;
    String handle = "%s-%d".formatted(engineName, lastHandleNumber);
    KvBlock block =
        new KvBlock(handle, stream.body.model(), stream.body.promptTokens(), stream.prefixHashes);
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
