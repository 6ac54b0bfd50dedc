package io.samphiregauge.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiregauge.net.Codec;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The result of running {@code samphirectl} in the process of a test.
 *
 * @param status exit status
 * @param out standard output
 * @param err standard error
 */
record CommandRun(int status, String out, String err) {
  static CommandRun run(Map<String, String> environment, String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status = Main.run(args, stream(out), stream(err), environment);
    return new CommandRun(
        status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  static CommandRun run(String... args) {
    return run(Map.of(), args);
  }

  /** Parses standard output, for a command that ran with {@code --json}. */
  JsonNode json() {
    return tree(out);
  }

  /** Parses standard error, for a command that ran with {@code --json}. */
  JsonNode error() {
    return tree(err);
  }

  private static JsonNode tree(String text) {
    return Codec.json().decodeTree(text.getBytes(StandardCharsets.UTF_8)).value().orElseThrow();
  }

  private static PrintStream stream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }
}
