package io.samphiregauge.standins;

import io.samphiregauge.schema.platform.KvBlock;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Stores KV cache blocks by handle, for export to and import from other engines. */
final class KvStore {
  private final String engineName;
  private final Map<String, KvBlock> blocks = new HashMap<>();
  private long lastHandleNumber;

  KvStore(String engineName) {
    this.engineName = engineName;
  }

  /** Stores the KV cache block of a processed prompt under a new handle and returns the block. */
  KvBlock add(TokenStream stream) {
    lastHandleNumber++;
    String handle = "%s-%d".formatted(engineName, lastHandleNumber);
    KvBlock block =
        new KvBlock(handle, stream.body.model(), stream.body.promptTokens(), stream.prefixHashes);
    blocks.put(handle, block);
    return block;
  }

  /** Stores a block that was exported by another engine. */
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
