package io.samphiregauge.net;

import com.fasterxml.jackson.core.JsonParser;
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
import java.util.Set;

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
          .build();
  private static final JsonSchemaFactory SCHEMAS =
      JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V7);
  private static final String SCHEMA_ROOT = "classpath:io/samphiregauge/schema/";

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
    JsonNode tree;
    try {
      tree = COMMENTED.readTree(Files.readString(file));
    } catch (IOException | IllegalArgumentException e) {
      return Result.failed(new BadFile(file, "$", String.valueOf(e.getMessage())));
    }
    JsonSchema checker = SCHEMAS.getSchema(SchemaLocation.of(SCHEMA_ROOT + schema));
    Set<ValidationMessage> faults = checker.validate(tree);
    return faults.stream()
        .min(Comparator.comparing(fault -> fault.getInstanceLocation().toString()))
        .<Result<T>>map(fault -> Result.failed(toFailure(file, fault)))
        .orElseGet(() -> Codec.json().decode(Codec.json().encode(tree), type));
  }

  private static Failure toFailure(Path file, ValidationMessage fault) {
    String field = fault.getInstanceLocation().toString();
    return new BadFile(file, field, fault.getMessage());
  }
}
