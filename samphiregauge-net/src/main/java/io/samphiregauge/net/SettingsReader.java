package io.samphiregauge.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Optional;

/**
 * Reads JSON files with comments and checks them against their schema.
 *
 * <pre>{@code
 * Result<Settings> settings = SettingsReader.read(file, "config/settings.json", Settings.class);
 * }</pre>
 */
public final class SettingsReader {
  private static final ObjectMapper COMMENTED =
      JsonMapper.builder()
          .enable(JsonParser.Feature.ALLOW_COMMENTS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();
  private static final JsonSchemaFactory SCHEMAS =
      JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V7);
  private static final String SCHEMA_ROOT = "classpath:io/samphiregauge/schema/";
  private static final String WHOLE_FILE = "$";

  /** A misspelt field is also a missing one; the misspelling tells the operator more. */
  private static final Comparator<ValidationMessage> UNKNOWN_FIELDS_FIRST =
      Comparator.comparing((ValidationMessage f) -> !f.getType().equals("additionalProperties"))
          .thenComparing(f -> f.getInstanceLocation().toString())
          .thenComparing(ValidationMessage::getMessage);

  private SettingsReader() {}

  /** A file that cannot be used, and the field where it is wrong. */
  public record BadFile(Path file, String field, String reason) implements Failure {
    @Override
    public String type() {
      return "bad_file";
    }

    @Override
    public String message() {
      return "%s: %s: %s".formatted(file, field, reason);
    }
  }

  /**
   * Reads a file.
   *
   * @param file the file
   * @param schema path of its schema below the schema folder
   * @param type class that is generated from the schema
   * @return the content, or the first fault with its field
   */
  public static <T> Result<T> read(Path file, String schema, Class<T> type) {
    return bytes(file)
        .flatMap(bytes -> tree(file, bytes))
        .flatMap(tree -> check(file, schema, tree))
        .flatMap(tree -> decode(file, tree, type));
  }

  private static Result<byte[]> bytes(Path file) {
    try {
      return Result.success(Files.readAllBytes(file));
    } catch (IOException e) {
      return Result.failed(
          new BadFile(file, WHOLE_FILE, "cannot be read: " + e.getClass().getSimpleName()));
    }
  }

  private static Result<JsonNode> tree(Path file, byte[] bytes) {
    try {
      JsonNode tree = COMMENTED.readTree(bytes);
      return tree.isMissingNode()
          ? Result.failed(new BadFile(file, WHOLE_FILE, "is empty"))
          : Result.success(tree);
    } catch (JsonProcessingException e) {
      return Result.failed(new BadFile(file, place(e), e.getOriginalMessage()));
    } catch (IOException e) {
      return Result.failed(new BadFile(file, WHOLE_FILE, String.valueOf(e.getMessage())));
    }
  }

  private static String place(JsonProcessingException fault) {
    return Optional.ofNullable(fault.getLocation())
        .map(at -> "line %d, column %d".formatted(at.getLineNr(), at.getColumnNr()))
        .orElse(WHOLE_FILE);
  }

  private static Result<JsonNode> check(Path file, String schema, JsonNode tree) {
    JsonSchema checker = SCHEMAS.getSchema(SchemaLocation.of(SCHEMA_ROOT + schema));
    return checker.validate(tree).stream()
        .min(UNKNOWN_FIELDS_FIRST)
        .<Result<JsonNode>>map(fault -> Result.failed(toFailure(file, fault)))
        .orElseGet(() -> Result.success(tree));
  }

  /** Catches what the schema lets through, such as a number that the class cannot hold. */
  private static <T> Result<T> decode(Path file, JsonNode tree, Class<T> type) {
    Result<T> decoded = Codec.json().decode(Codec.json().encode(tree), type);
    return decoded.fold(
        Result::success,
        failure ->
            failure instanceof NetFailure.BadMessage bad
                ? Result.failed(new BadFile(file, bad.place(), bad.reason()))
                : Result.failed(failure));
  }

  /** Names the field itself where the schema names the object that lacks it or must not have it. */
  private static BadFile toFailure(Path file, ValidationMessage fault) {
    String parent = fault.getInstanceLocation().toString();
    String field =
        Optional.ofNullable(fault.getProperty()).map(name -> parent + "." + name).orElse(parent);
    String reason = fault.getMessage();
    String prefix = parent + ": ";
    return new BadFile(
        file, field, reason.startsWith(prefix) ? reason.substring(prefix.length()) : reason);
  }
}
