package io.samphiregauge.gateway.traffic;

import io.netty.buffer.ByteBufUtil;
import io.samphiregauge.core.dispatch.ServerLoad;
import io.samphiregauge.core.suspect.CrashTracker;
import io.samphiregauge.core.suspect.Fingerprint;
import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.function.Consumer;

/**
 * Finds out which requests bring down the servers that run them, and tells the other entries. Used
 * by one event loop.
 *
 * <p>A lost answer alone says little, since connections break for other reasons too. It counts only
 * if the server cannot be reached or has started again soon after.
 */
final class CrashWatch {
  /** Time after a lost answer in which the end of its server shows. */
  private static final long CONFIRM_MS = 1_500;

  private final Traffic traffic;
  private final Consumer<CrashRecord> publisher;
  private final CrashTracker ledger = new CrashTracker();

  CrashWatch(Traffic traffic, Consumer<CrashRecord> publisher) {
    this.traffic = traffic;
    this.publisher = publisher;
  }

  /** Takes a crash that an entry has published. */
  void take(CrashRecord crash) {
    ledger.recordCrash(crash.getFingerprint(), crash.getBackend());
  }

  boolean isBlocked(RelayedCall call) {
    return !ledger.isEmpty() && ledger.isBlocked(fingerprint(call));
  }

  void answered(RelayedCall call) {
    if (!ledger.isEmpty()) {
      ledger.recordResponse(fingerprint(call));
    }
  }

  /** Notes that a server's answer was lost after the request went out. */
  void lost(RelayedCall call, ServerLoad load) {
    String fingerprint = fingerprint(call);
    String server = load.server().incarnation();
    traffic.after(
        CONFIRM_MS,
        () -> {
          traffic.view();
          if (load.isUnreachable() || !traffic.servers().isUsable(server)) {
            CrashRecord crash = new CrashRecord(fingerprint, server);
            take(crash);
            publisher.accept(crash);
          }
        });
  }

  private static String fingerprint(RelayedCall call) {
    return Fingerprint.of(
        call.meta().teamKey().orElse(""),
        call.request().method() + " " + call.request().uri(),
        ByteBufUtil.getBytes(call.request().content()));
  }
}
