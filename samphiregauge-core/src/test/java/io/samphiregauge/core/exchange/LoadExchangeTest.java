package io.samphiregauge.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.schema.peer.BackendLoad;
import io.samphiregauge.schema.peer.CachedPrompt;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the exchange of many entries in virtual time over a simulated network. */
class LoadExchangeTest {
  /** Age above which loads are useless: prompts are prefilled within it. */
  private static final long MAX_AGE_MS = 1_000;

  private static final long SETTLE_MS = 3_000;

  /** Guards against entries that place requests on servers whose load they do not know. */
  @ParameterizedTest
  @CsvSource({"8,4,0.0", "8,4,0.05", "95,6,0.0", "95,6,0.05", "560,17,0.0"})
  void everyEntryKnowsTheLoadsOfAllOthers(int entries, int domains, double loss) {
    ExchangeSimulation group = new ExchangeSimulation(entries, domains, loss, 7);
    group.run(SETTLE_MS);
    for (int entry = 0; entry < entries; entry++) {
      long known = group.knownRunning(entry);
      long expected = entries - 1L;
      // A lost message of a head hides what is new in one period, not the loads themselves.
      assertThat(known).as("entry %d", entry).isEqualTo(expected);
    }
  }

  /** Guards against stale loads: a new load must be known everywhere within a second. */
  @ParameterizedTest
  @CsvSource({"8,4", "20,4", "21,4", "95,6", "560,17"})
  void newLoadIsKnownEverywhereWithinASecond(int entries, int domains) {
    ExchangeSimulation group = new ExchangeSimulation(entries, domains, 0, 11);
    group.run(SETTLE_MS);
    int last = entries - 1;
    group.setOwnLoads(last, List.of(new BackendLoad(99, 500, 3)));
    group.run(MAX_AGE_MS);
    for (int entry = 0; entry < last; entry++) {
      assertThat(group.knownTokens(entry, 99)).as("entry %d", entry).isEqualTo(500);
    }
  }

  /** Guards against work that grows with the square of the entries. */
  @Test
  void messagesPerEntryDoNotGrowWithTheGroup() {
    double small = messagesPerEntryAndSecond(95, 6);
    double large = messagesPerEntryAndSecond(560, 17);
    assertThat(small).isLessThan(messagesPerEntryAndSecond(20, 4));
    assertThat(large).isLessThan(2 * small);
  }

  private static double messagesPerEntryAndSecond(int entries, int domains) {
    ExchangeSimulation group = new ExchangeSimulation(entries, domains, 0, 3);
    group.run(SETTLE_MS);
    long before = group.sentMessages();
    group.run(10_000);
    return (group.sentMessages() - before) / 10.0 / entries;
  }

  /** Guards against a failure domain that knows nothing after the loss or freeze of its head. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void secondHeadReplacesTheFirstWithinASecond(boolean freeze) {
    ExchangeSimulation group = new ExchangeSimulation(95, 6, 0, 5);
    group.run(SETTLE_MS);
    group.setSilent(0, true);
    // The members' list still contains the silent head.
    for (long t = 0; t < 4_000; t += 100) {
      group.run(100);
      for (int entry = 1; entry < 95; entry++) {
        assertThat(group.knownRunning(entry)).as("entry %d", entry).isGreaterThanOrEqualTo(90);
      }
    }
    int newest = 90;
    group.setOwnLoads(newest, List.of(new BackendLoad(99, 500, 3)));
    group.run(MAX_AGE_MS);
    for (int entry = 1; entry < 95; entry++) {
      assertThat(group.knownTokens(entry, 99)).isEqualTo(entry == newest ? 0 : 500);
    }
    if (freeze) {
      group.setSilent(0, false);
      group.run(MAX_AGE_MS);
      assertThat(group.knownTokens(0, 99)).isEqualTo(500);
    }
  }

  /** Guards against loads of entries that are gone, which would keep servers from being used. */
  @Test
  void loadsOfLostEntriesExpire() {
    ExchangeSimulation group = new ExchangeSimulation(95, 6, 0, 5);
    group.run(SETTLE_MS);
    // None of these is a head: the heads of the six domains are the first two of each.
    for (int entry = 34; entry < 44; entry++) {
      group.setSilent(entry, true);
    }
    group.run(SETTLE_MS);
    for (int entry = 0; entry < 34; entry++) {
      assertThat(group.knownRunning(entry)).isEqualTo(95 - 10 - 1);
    }
  }

  /** Guards against shared prompts that are prefilled again because only one entry knows them. */
  @ParameterizedTest
  @CsvSource({"8,4", "95,6"})
  void cachedPromptsReachAllEntriesOnce(int entries, int domains) {
    ExchangeSimulation group = new ExchangeSimulation(entries, domains, 0, 5);
    group.run(SETTLE_MS);
    group.addPrompt(entries - 1, new CachedPrompt(5, List.of("aa"), List.of(8_000)));
    group.addPrompt(0, new CachedPrompt(6, List.of("bb"), List.of(8_000)));
    group.run(MAX_AGE_MS);
    for (int entry = 1; entry < entries - 1; entry++) {
      assertThat(group.receivedPrompts(entry).stream().map(CachedPrompt::getBackend).distinct())
          .as("entry %d", entry)
          .containsExactlyInAnyOrder(5, 6);
      assertThat(group.receivedPrompts(entry)).hasSizeLessThanOrEqualTo(4);
    }
  }

  /** Guards against shares of services by a demand that is seconds old or of lost entries. */
  @ParameterizedTest
  @CsvSource({"8,4", "95,6"})
  void demandIsKnownEverywhereAndExpires(int entries, int domains) {
    ExchangeSimulation group = new ExchangeSimulation(entries, domains, 0, 5);
    for (int entry = 0; entry < entries; entry++) {
      group.setOwnDemand(entry, 2);
    }
    group.run(MAX_AGE_MS);
    for (int entry = 0; entry < entries; entry++) {
      assertThat(group.knownDemand(entry)).as("entry %d", entry).isEqualTo(2 * (entries - 1));
    }
    group.setSilent(entries - 1, true);
    group.run(SETTLE_MS);
    assertThat(group.knownDemand(0)).isEqualTo(2 * (entries - 2));
  }
}
