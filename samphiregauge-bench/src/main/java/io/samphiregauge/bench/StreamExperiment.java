package io.samphiregauge.bench;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.config.KeyDigest;
import io.samphiregauge.daemon.Entry;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.config.Configuration;
import io.samphiregauge.schema.config.Model;
import io.samphiregauge.schema.config.Settings;
import io.samphiregauge.schema.config.Team;
import io.samphiregauge.schema.config.Withdrawal;
import io.samphiregauge.schema.platform.AppendAnswer;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.Note;
import io.samphiregauge.standins.EngineStandin;
import io.samphiregauge.standins.LogStandin;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Keeps streams running on two entries (200 by default) while a note is applied and one entry is
 * shut down gracefully, and counts streams that fail, are truncated, or receive data of another
 * stream.
 *
 * <pre>{@code
 * bin/bench io.samphiregauge.bench.StreamExperiment 60 200
 * }</pre>
 */
public final class StreamExperiment {
  private static final Address EPHEMERAL_ADDRESS = new Address("127.0.0.1", 0);
  private static final Configuration EMPTY_CONFIGURATION =
      new Configuration(List.of(), List.of(), List.of(), List.of());
  private static final Withdrawal EMPTY_WITHDRAWAL =
      new Withdrawal(List.of(), List.of(), List.of(), List.of(), List.of());
  private static final Incarnation OPERATOR = new Incarnation("operator", 1L, 1L);
  private static final int DEFAULT_SECONDS = 60;
  private static final int MAX_SECONDS = 600;
  private static final int DEFAULT_STREAMS = 200;
  private static final int MAX_STREAMS = 1_000;
  private static final int TOKEN_INTERVAL_MS = 20;
  private static final int DIRECTORY_KEEP_MS = 1_000;
  private static final int CALL_TIMEOUT_MS = 5_000;
  private static final int MAX_READY_CHECKS = 1_000;
  private static final int READY_CHECK_INTERVAL_MS = 10;

  private StreamExperiment() {}

  /**
   * Runs the experiment.
   *
   * @param args duration in seconds and number of concurrent streams; 60 and 200 by default
   * @throws Exception if the run is interrupted or an entry does not drain
   */
  public static void main(String[] args) throws Exception {
    int seconds = Math.min(MAX_SECONDS, intArgument(args, 0, DEFAULT_SECONDS));
    int streams = Math.min(MAX_STREAMS, intArgument(args, 1, DEFAULT_STREAMS));
    EventLoopGroup logLoop = new NioEventLoopGroup(1);
    EventLoopGroup loops = new NioEventLoopGroup(4);
    boolean withoutFaults;
    try (LogStandin log = LogStandin.start(logLoop, EPHEMERAL_ADDRESS);
        EngineStandin first = EngineStandin.start(loops, EPHEMERAL_ADDRESS, TOKEN_INTERVAL_MS);
        EngineStandin second = EngineStandin.start(loops, EPHEMERAL_ADDRESS, TOKEN_INTERVAL_MS);
        EngineStandin added = EngineStandin.start(loops, EPHEMERAL_ADDRESS, TOKEN_INTERVAL_MS)) {
      long noteOffset = append(loops, log, 1, firstNote(first, second));
      withoutFaults = run(loops, log, streams, seconds, secondNote(noteOffset, added));
    }
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    logLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    if (!withoutFaults) {
      System.exit(1);
    }
  }

  private static boolean run(
      EventLoopGroup loops, LogStandin log, int streams, int seconds, Note note) throws Exception {
    Entry drainingEntry = startEntry("vm1", log);
    try (Entry remainingEntry = startEntry("vm2", log)) {
      awaitReady(loops, drainingEntry);
      awaitReady(loops, remainingEntry);
      StreamCallers callers =
          StreamCallers.start(streams, List.of(drainingEntry.address(), remainingEntry.address()));
      TimeUnit.SECONDS.sleep(seconds / 3);
      append(loops, log, 2, note);
      TimeUnit.SECONDS.sleep(seconds / 3);
      // Callers may use a directory response that names this entry for DIRECTORY_KEEP_MS more.
      CompletableFuture<Void> drained = drainingEntry.drain();
      callers.useAddresses(List.of(remainingEntry.address()));
      drained.get(MAX_SECONDS, TimeUnit.SECONDS);
      drainingEntry.close();
      TimeUnit.SECONDS.sleep(seconds - 2 * (seconds / 3));
      return callers.finish();
    }
  }

  private static Entry startEntry(String vm, LogStandin log) {
    String json =
        """
        {"vm": "%s", "region": "luzon", "failureDomain": "a", "httpAddress": "127.0.0.1:0",
         "peerAddress": "127.0.0.1:0", "logUrl": "http://%s", "seedPeers": [],
         "clientHopUs": 200, "domainHopUs": 100, "directoryKeepMs": %d, "trafficThreads": 2}
        """
            .formatted(vm, log.address(), DIRECTORY_KEEP_MS);
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    Settings settings = Codec.json().decode(bytes, Settings.class).value().orElseThrow();
    return Entry.start(settings, () -> System.nanoTime() / 1_000_000).value().orElseThrow();
  }

  private static void awaitReady(EventLoopGroup loops, Entry entry) throws InterruptedException {
    OneShotHttpClient client = new OneShotHttpClient(loops);
    for (int i = 0; i < MAX_READY_CHECKS; i++) {
      if (client.get(entry.address(), "/readyz", CALL_TIMEOUT_MS).join().value().isPresent()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(READY_CHECK_INTERVAL_MS);
    }
    throw new IllegalStateException("Entry " + entry.address() + " did not become ready");
  }

  private static long append(EventLoopGroup loops, LogStandin log, long sequence, Note note) {
    byte[] json = Codec.json().encode(new LogRecord(OPERATOR, sequence, note));
    return new OneShotHttpClient(loops)
        .post(log.address(), "/v1/streams/control/records", json, CALL_TIMEOUT_MS)
        .join()
        .flatMap(bytes -> Codec.json().decode(bytes, AppendAnswer.class))
        .value()
        .orElseThrow()
        .getOffset();
  }

  private static Note firstNote(EngineStandin first, EngineStandin second) {
    List<String> keys = List.of(KeyDigest.of(StreamCallers.KEY));
    Configuration added =
        new Configuration(
            List.of(new Team("t1", keys, List.of("m1"), List.of(), 1.0)),
            List.of(new Model("m1", List.of("1"), 1L, 1L)),
            List.of(),
            List.of(engine("e1", first), engine("e2", second)));
    return new Note(-1L, "ops", added, EMPTY_CONFIGURATION, EMPTY_WITHDRAWAL);
  }

  /** Creates the note that adds an engine and a team while the streams run. */
  private static Note secondNote(long buildsOnOffset, EngineStandin engine) {
    List<Team> teams =
        new ArrayList<>(
            List.of(new Team("t2", List.of(KeyDigest.of("k2")), List.of("m1"), List.of(), 1.0)));
    Configuration added =
        new Configuration(teams, List.of(), List.of(), List.of(engine("e3", engine)));
    return new Note(buildsOnOffset, "ops", added, EMPTY_CONFIGURATION, EMPTY_WITHDRAWAL);
  }

  private static Backend engine(String name, EngineStandin engine) {
    return new Backend(
        name,
        BackendKind.ENGINE,
        engine.address().toString(),
        "a",
        List.of("m1"),
        false,
        true,
        1_000);
  }

  private static int intArgument(String[] args, int index, int defaultValue) {
    return args.length > index ? Integer.parseInt(args[index]) : defaultValue;
  }
}
