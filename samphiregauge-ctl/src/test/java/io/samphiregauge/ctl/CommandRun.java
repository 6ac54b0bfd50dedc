package io.samphiregauge.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiregauge.net.Codec;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One run of the command in a test.
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

  /** Returns the output as a tree, where the command ran with {@code --json}. */
  JsonNode json() {
    return tree(out);
  }

  /** Returns the error as a tree, where the command ran with {@code --json}. */
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
