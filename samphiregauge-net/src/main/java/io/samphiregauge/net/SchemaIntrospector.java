package io.samphiregauge.net;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.AnnotatedConstructor;
import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.AnnotatedParameter;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.util.Arrays;
import java.util.Optional;

/**
 * Supplies the Jackson annotations that the generated classes lack: how absent fields are written,
 * and that a field whose getter returns no {@code Optional} must be present and not null.
 */
final class SchemaIntrospector extends JacksonAnnotationIntrospector {
  private static final long serialVersionUID = 1L;
  private static final String SCHEMA_PACKAGE = "io.samphiregauge.schema.";

  private final JsonFormat.Shape shape;
  private final JsonInclude.Include inclusion;

  private SchemaIntrospector(JsonFormat.Shape shape, JsonInclude.Include inclusion) {
    this.shape = shape;
    this.inclusion = inclusion;
  }

  /** Creates an introspector that writes objects with field names and omits absent fields. */
  static SchemaIntrospector forObjects() {
    return new SchemaIntrospector(JsonFormat.Shape.OBJECT, JsonInclude.Include.NON_ABSENT);
  }

  /**
   * Creates an introspector that writes arrays of values in the order of the schema, with null for
   * absent fields. Field names would make up more than half of the bytes of a {@code UsageCopy}.
   */
  static SchemaIntrospector forArrays() {
    return new SchemaIntrospector(JsonFormat.Shape.ARRAY, JsonInclude.Include.ALWAYS);
  }

  @Override
  public JsonInclude.Value findPropertyInclusion(Annotated annotated) {
    return JsonInclude.Value.empty().withValueInclusion(inclusion);
  }

  @Override
  public JsonFormat.Value findFormat(Annotated annotated) {
    return annotated instanceof AnnotatedClass && isSchemaClass(annotated.getRawType())
        ? JsonFormat.Value.forShape(shape)
        : super.findFormat(annotated);
  }

  @Override
  public JsonCreator.Mode findCreatorAnnotation(MapperConfig<?> config, Annotated annotated) {
    if (annotated instanceof AnnotatedConstructor constructor
        && isSchemaClass(constructor.getDeclaringClass())
        && isAllFieldsConstructor(constructor.getAnnotated())) {
      return JsonCreator.Mode.PROPERTIES;
    }
    return super.findCreatorAnnotation(config, annotated);
  }

  @Override
  public String findImplicitPropertyName(AnnotatedMember member) {
    return schemaParameter(member)
        .map(SchemaIntrospector::parameterName)
        .orElseGet(() -> super.findImplicitPropertyName(member));
  }

  @Override
  public Boolean hasRequiredMarker(AnnotatedMember member) {
    return schemaParameter(member)
        .map(SchemaIntrospector::isRequired)
        .orElseGet(() -> super.hasRequiredMarker(member));
  }

  @Override
  public JsonSetter.Value findSetterInfo(Annotated annotated) {
    return schemaParameter(annotated)
        .map(
            parameter ->
                JsonSetter.Value.construct(
                    isRequired(parameter) ? Nulls.FAIL : Nulls.DEFAULT, Nulls.FAIL))
        .orElseGet(() -> super.findSetterInfo(annotated));
  }

  private static Optional<AnnotatedParameter> schemaParameter(Annotated annotated) {
    return Optional.of(annotated)
        .filter(AnnotatedParameter.class::isInstance)
        .map(AnnotatedParameter.class::cast)
        .filter(parameter -> isSchemaClass(parameter.getDeclaringClass()));
  }

  private static boolean isSchemaClass(Class<?> type) {
    return type.getName().startsWith(SCHEMA_PACKAGE) && !type.isEnum();
  }

  private static boolean isAllFieldsConstructor(Constructor<?> constructor) {
    int maxParameters =
        Arrays.stream(constructor.getDeclaringClass().getDeclaredConstructors())
            .mapToInt(Constructor::getParameterCount)
            .max()
            .orElse(0);
    return maxParameters > 0 && constructor.getParameterCount() == maxParameters;
  }

  private static String parameterName(AnnotatedParameter parameter) {
    Constructor<?> constructor = (Constructor<?>) parameter.getOwner().getAnnotated();
    return constructor.getParameters()[parameter.getIndex()].getName();
  }

  private static boolean isRequired(AnnotatedParameter parameter) {
    String name = parameterName(parameter);
    String suffix = Character.toUpperCase(name.charAt(0)) + name.substring(1);
    return Arrays.stream(parameter.getDeclaringClass().getDeclaredMethods())
        .filter(m -> m.getName().equals("get" + suffix) || m.getName().equals("is" + suffix))
        .map(Method::getReturnType)
        .noneMatch(Optional.class::equals);
  }
}
