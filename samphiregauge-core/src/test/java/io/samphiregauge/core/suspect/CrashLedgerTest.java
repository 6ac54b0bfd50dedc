package io.samphiregauge.core.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CrashLedgerTest {
  private final CrashLedger ledger = new CrashLedger();

  /** Guards against a request that brings down one server after the other. */
  @Test
  void blocksARequestThatBroughtDownThreeServers() {
    ledger.crashed("f", "s@1");
    ledger.crashed("f", "t@1");
    assertThat(ledger.isBlocked("f")).isFalse();
    ledger.crashed("f", "s@2");
    assertThat(ledger.isBlocked("f")).isTrue();
    assertThat(ledger.isBlocked("g")).isFalse();
  }

  /** Guards against one crash that several entries report. */
  @Test
  void countsEachStartOfAServerOnce() {
    ledger.crashed("f", "s@1");
    ledger.crashed("f", "s@1");
    ledger.crashed("f", "s@1");
    assertThat(ledger.isBlocked("f")).isFalse();
  }

  /** Guards against a harmless request that ran beside the one that crashes. */
  @Test
  void anAnswerClearsARequest() {
    ledger.crashed("f", "s@1");
    ledger.crashed("f", "t@1");
    ledger.answered("f");
    ledger.crashed("f", "u@1");
    assertThat(ledger.isBlocked("f")).isFalse();
  }

  /** Guards against memory that grows with each crash. */
  @Test
  void remembersTheNewestRequestsOnly() {
    for (int i = 0; i < 5_000; i++) {
      ledger.crashed("f" + i, "s@1");
    }
    for (int i = 2; i < 4; i++) {
      ledger.crashed("f0", "s@" + i);
    }
    assertThat(ledger.isBlocked("f0")).isFalse();
  }
}
