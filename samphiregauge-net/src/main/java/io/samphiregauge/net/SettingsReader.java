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
 * Reads JSON files with comments and validates them against their JSON Schema.
 *
 * <pre>{@code
 * Result<Settings> settings = SettingsReader.read(file, "config/settings.json", Settings.class);
 * }</pre>
 */
public final class SettingsReader {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.ALLOW_COMMENTS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();
  private static final JsonSchemaFactory SCHEMA_FACTORY =
      JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V7);
  private static final String SCHEMA_ROOT = "classpath:io/samphiregauge/schema/";
  private static final String ROOT_PATH = "$";

  /** A misspelt field is both unknown and missing; the unknown name is more useful to operators. */
  private static final Comparator<ValidationMessage> UNKNOWN_FIELDS_FIRST =
      Comparator.comparing(
              (ValidationMessage error) -> !error.getType().equals("additionalProperties"))
          .thenComparing(error -> error.getInstanceLocation().toString())
          .thenComparing(ValidationMessage::getMessage);

  private SettingsReader() {}

  /**
   * A file that cannot be read or is invalid.
   *
   * @param file the file
   * @param location path of the invalid field, or line and column of a syntax error; "$" for an
   *     error of the whole file
   * @param reason what is wrong at the location
   */
  public record BadFile(Path file, String location, String reason) implements Failure {
    @Override
    public String type() {
      return "bad_file";
    }

    @Override
    public String message() {
      return "%s: %s: %s".formatted(file, location, reason);
    }
  }

  /**
   * Reads and validates a file.
   *
   * @param file the file
   * @param schema path of its schema, relative to the schema folder
   * @param type class generated from the schema
   * @return the content, or a {@link BadFile} with the first error
   */
  public static <T> Result<T> read(Path file, String schema, Class<T> type) {
    return readBytes(file)
        .flatMap(bytes -> parse(file, bytes))
        .flatMap(tree -> validate(file, schema, tree))
        .flatMap(tree -> decode(file, tree, type));
  }

  private static Result<byte[]> readBytes(Path file) {
    try {
      return Result.success(Files.readAllBytes(file));
    } catch (IOException e) {
      return Result.failed(
          new BadFile(file, ROOT_PATH, "cannot be read: " + e.getClass().getSimpleName()));
    }
  }

  private static Result<JsonNode> parse(Path file, byte[] bytes) {
    try {
      JsonNode tree = MAPPER.readTree(bytes);
      return tree.isMissingNode()
          ? Result.failed(new BadFile(file, ROOT_PATH, "is empty"))
          : Result.success(tree);
    } catch (JsonProcessingException e) {
      return Result.failed(new BadFile(file, location(e), e.getOriginalMessage()));
    } catch (IOException e) {
      return Result.failed(new BadFile(file, ROOT_PATH, String.valueOf(e.getMessage())));
    }
  }

  private static String location(JsonProcessingException exception) {
    return Optional.ofNullable(exception.getLocation())
        .map(
            position ->
                "line %d, column %d".formatted(position.getLineNr(), position.getColumnNr()))
        .orElse(ROOT_PATH);
  }

  private static Result<JsonNode> validate(Path file, String schema, JsonNode tree) {
    JsonSchema validator = SCHEMA_FACTORY.getSchema(SchemaLocation.of(SCHEMA_ROOT + schema));
    return validator.validate(tree).stream()
        .min(UNKNOWN_FIELDS_FIRST)
        .<Result<JsonNode>>map(error -> Result.failed(toFailure(file, error)))
        .orElseGet(() -> Result.success(tree));
  }

  /**
   * Decodes a valid tree; fails for values that the schema allows but the class cannot represent,
   * such as an integer out of range.
   */
  private static <T> Result<T> decode(Path file, JsonNode tree, Class<T> type) {
    Result<T> decoded = Codec.json().decode(Codec.json().encode(tree), type);
    return decoded.fold(
        Result::success,
        failure ->
            failure instanceof NetFailure.BadMessage bad
                ? Result.failed(new BadFile(file, bad.location(), bad.reason()))
                : Result.failed(failure));
  }

  /** Reports the missing or unknown field itself; the validator reports the enclosing object. */
  private static BadFile toFailure(Path file, ValidationMessage error) {
    String parent = error.getInstanceLocation().toString();
    String field =
        Optional.ofNullable(error.getProperty()).map(name -> parent + "." + name).orElse(parent);
    String reason = error.getMessage();
    String prefix = parent + ": ";
    return new BadFile(
        file, field, reason.startsWith(prefix) ? reason.substring(prefix.length()) : reason);
  }
}
