package io.samphiregauge.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.core.config.NoteFailure;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Note;
import io.samphiregauge.schema.standin.LogFaults;
import io.samphiregauge.standins.AppendFault;
import io.samphiregauge.standins.LogStandin;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Verifies that a note is applied once, and never over another operator's newer note. */
class NoteCommandsTest {
  private static final Path FIRST_NOTE_FILE = Path.of("src/test/resources/notes/first.json");
  private static final AppendFault.Effect RESPONSE_LOST = new AppendFault.Effect(1, false, 0);
  private static final AppendFault.Effect APPEND_REFUSED = new AppendFault.Effect(0, true, 0);
  private static final Address EPHEMERAL_ADDRESS = new Address("127.0.0.1", 0);

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final LogStandin log = LogStandin.start(loops, EPHEMERAL_ADDRESS);
  @TempDir private Path directory;

  @AfterEach
  void stop() {
    log.close();
    loops.shutdownGracefully();
  }

  @Test
  void appliesAFileWithOnlyAddedItems() {
    CommandRun run = ctl("apply", FIRST_NOTE_FILE.toString(), "--json");
    assertThat(run.err()).isEmpty();
    assertThat(run.json().path("offset").asLong()).isZero();
    assertThat(run.json().path("author").asText()).isEqualTo("somchai");
    assertThat(ctl("history").out()).contains("added team t1; added model m1; added backend e1");
  }

  @Test
  void appliesANoteOnceWhenTheAppendResponseIsLost() {
    log.setFaults(faults("{\"loseAnswers\":1}"));
    assertThat(ctl("apply", FIRST_NOTE_FILE.toString()).status()).isZero();
    assertThat(log.records()).hasSize(1);
  }

  @Test
  void acceptsANoteThatTheLogStoredTwice() {
    log.setFaults(faults("{\"duplicateAppends\":1}"));
    CommandRun run = ctl("apply", FIRST_NOTE_FILE.toString(), "--json");
    assertThat(run.json().path("offset").asLong()).isZero();
    assertThat(log.records()).hasSize(2);
  }

  @Test
  void reportsTheAcceptedOffsetWhenAnotherNoteWasAcceptedFirst() {
    try (Session session = session()) {
      BlockingLogClient client = session.logClient().value().orElseThrow();
      LogView before = client.readAll().value().orElseThrow();
      assertThat(ctl("apply", FIRST_NOTE_FILE.toString()).status()).isZero();
      Note late =
          NoteFiles.toNote(NoteFiles.read(FIRST_NOTE_FILE).value().orElseThrow(), "late", -1);
      Result<NoteAppender.AcceptedNote> result =
          new NoteAppender(client, new Incarnation("late", 1L, 1L), ms -> {}).apply(before, late);
      assertThat(result.failure()).contains(new NoteFailure.Conflict(-1, 0));
    }
  }

  @Test
  void rejectsANoteThatBuildsOnAnOldOffset() throws Exception {
    ctl("apply", FIRST_NOTE_FILE.toString());
    Path old = writeFile("{\"buildsOnOffset\": -1}");
    for (String command : List.of("apply", "check")) {
      CommandRun run = ctl(command, old.toString(), "--json");
      assertThat(run.status()).isEqualTo(1);
      assertThat(run.error().path("type").asText()).isEqualTo("note_conflict");
      assertThat(run.error().path("message").asText()).contains("offset 0");
    }
  }

  @Test
  void doesNotAppendAnInvalidNote() throws Exception {
    Path withdrawal = writeFile("{\"withdrawn\": {\"teams\": [\"nobody\"]}}");
    CommandRun run = ctl("apply", withdrawal.toString());
    assertThat(run.status()).isEqualTo(1);
    assertThat(run.err()).contains("unknown_reference", "nobody");
    assertThat(log.records()).isEmpty();
  }

  @Test
  void reportsTheInvalidFieldOfAFile() throws Exception {
    Path bad = writeFile("{\"added\": {\"teamz\": []}}");
    assertThat(ctl("check", bad.toString()).err()).contains(bad.toString(), "$.added.teamz");
  }

  @Test
  void failsWhileTheLogIsDown() {
    log.setFaults(faults("{\"down\":true}"));
    CommandRun run = ctl("apply", FIRST_NOTE_FILE.toString(), "--json");
    assertThat(run.status()).isEqualTo(1);
    assertThat(run.error().path("type").asText()).isEqualTo("refused");
  }

  /**
   * Guards against reporting a failure while the log may still store the note: the operator would
   * send the note again.
   */
  @Test
  void reportsAnUnknownOutcomeWhenNeitherResponseNorRecordArrives() {
    try (Session session = session()) {
      BlockingLogClient client = session.logClient().value().orElseThrow();
      LogView before = client.readAll().value().orElseThrow();
      log.setAppendFault(
          record -> {
            loops.next().execute(() -> log.setAppendFault(again -> APPEND_REFUSED));
            return RESPONSE_LOST;
          });
      log.setFaults(faults("{\"retainRecords\":0}"));
      Note note = NoteFiles.toNote(NoteFiles.read(FIRST_NOTE_FILE).value().orElseThrow(), "a", -1);
      Result<NoteAppender.AcceptedNote> result =
          new NoteAppender(client, new Incarnation("a", 1L, 1L), ms -> {}).apply(before, note);
      assertThat(result.failure().map(Failure::type)).contains("outcome_unknown");
    }
  }

  @Test
  void storesOnlyTheDigestOfANewKeyInTheLog() {
    ctl("apply", FIRST_NOTE_FILE.toString());
    CommandRun run = ctl("keys", "new", "--team", "t1", "--json");
    String key = run.json().path("key").asText();
    assertThat(run.json().path("offset").asLong()).isEqualTo(1);
    try (Session session = session()) {
      LogView view = session.logClient().flatMap(BlockingLogClient::readAll).value().orElseThrow();
      assertThat(view.state().config().teamOfKey(KeyDigest.of(key)).map(Team::getName))
          .contains("t1");
    }
    assertThat(new String(Codec.json().encode(log.records()), StandardCharsets.UTF_8))
        .doesNotContain(key);
  }

  @Test
  void withdrawsABackendServerToDrainIt() {
    ctl("apply", FIRST_NOTE_FILE.toString());
    assertThat(ctl("drain", "e2").err()).contains("unknown_reference", "e2");
    assertThat(ctl("drain", "e1").status()).isZero();
    try (Session session = session()) {
      LogView view = session.logClient().flatMap(BlockingLogClient::readAll).value().orElseThrow();
      assertThat(view.state().config().backend("e1")).isEmpty();
    }
  }

  private CommandRun ctl(String... args) {
    return CommandRun.run(Map.of(CommonOptions.LOG_VARIABLE, "http://" + log.address()), args);
  }

  private Session session() {
    return new Session(Optional.of("http://" + log.address()), List.of(), line -> {});
  }

  private Path writeFile(String content) throws IOException {
    return Files.writeString(directory.resolve("note.json"), content);
  }

  private static LogFaults faults(String json) {
    return Codec.json()
        .decode(json.getBytes(StandardCharsets.UTF_8), LogFaults.class)
        .value()
        .orElseThrow();
  }
}
