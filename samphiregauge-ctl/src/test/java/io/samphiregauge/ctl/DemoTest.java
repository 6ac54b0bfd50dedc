package io.samphiregauge.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Verifies that the demo runs from end to end. */
class DemoTest {
  @Test
  void appliesANoteStreamsAResponseAndBooksOnce() {
    CommandRun run = CommandRun.run("demo");
    assertThat(run.err()).isEmpty();
    assertThat(run.status()).isZero();
    assertThat(run.out())
        .contains(
            "It is in force on 3 of 3 entries.",
            "data: {\"index\":4,\"text\":\"t4 \"}",
            "data: [DONE]",
            "ticket_required",
            "runs of this ticket on the service: 1",
            "note in force at offset");
  }
}
