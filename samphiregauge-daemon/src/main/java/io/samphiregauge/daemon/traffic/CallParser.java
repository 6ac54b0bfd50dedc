package io.samphiregauge.daemon.traffic;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.route.RouteRequest;
import io.samphiregauge.schema.config.Service;
import io.samphiregauge.schema.config.Team;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;

/** Turns a request into a call for a team, or into the reason why it is none. */
final class CallParser {
  static final String SERVICES_PATH = "/v1/services/";

  private static final JsonFactory JSON = new JsonFactory();

  private CallParser() {}

  /** Reads a request for a model. */
  static Result<BackendCall> parseCompletion(
      FullHttpRequest request, TrafficView view, long nowMs) {
    ByteBuf body = Unpooled.copiedBuffer(request.content());
    Result<Team> team = AccessControl.authenticate(view, authorization(request));
    if (!request.method().equals(HttpMethod.POST)) {
      return Result.failed(
          EntryFailure.notRun(405, "method_not_allowed", "This route takes POST requests."));
    }
    return team.flatMap(
        known ->
            parseModel(body)
                .flatMap(
                    model ->
                        AccessControl.authorizeModel(known, model)
                            .map(allowed -> engineRouteRequest(allowed, model, body)))
                .flatMap(route -> createCall(request, request.uri(), body, route, nowMs)));
  }

  /** Reads a request for a plain service, which sees only the part of the path below its name. */
  static Result<BackendCall> parseServiceCall(
      FullHttpRequest request, String path, TrafficView view, long nowMs) {
    String rest = path.substring(SERVICES_PATH.length());
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    String below = slash < 0 ? "" : rest.substring(slash + 1);
    if (isAmbiguous(path)) {
      return Result.failed(
          EntryFailure.notRun(
              400,
              "ambiguous_path",
              "The path has a segment that a backend server may read in another way."));
    }
    Optional<Service> service = view.config().service(name);
    if (service.isEmpty()) {
      return unknownService(request, view, name);
    }
    return serviceTeam(request, view, service.get())
        .flatMap(
            team -> {
              ByteBuf body = Unpooled.copiedBuffer(request.content());
              String uri = "/" + below + request.uri().substring(path.length());
              return createCall(
                  request, uri, body, serviceRouteRequest(team, service.get(), below), nowMs);
            });
  }

  static Optional<String> authorization(FullHttpRequest request) {
    return CallerHeaders.get(request.headers(), HttpHeaderNames.AUTHORIZATION);
  }

  /** An unknown key learns nothing about names, and an entry that is not fresh says nothing. */
  private static Result<BackendCall> unknownService(
      FullHttpRequest request, TrafficView view, String name) {
    return AccessControl.authenticate(view, authorization(request))
        .flatMap(
            team ->
                Result.failed(
                    EntryFailure.notRun(
                        404, "unknown_service", "There is no service \"%s\".".formatted(name))));
  }

  private static Result<Optional<String>> serviceTeam(
      FullHttpRequest request, TrafficView view, Service service) {
    if (service.isOpen()) {
      return Result.success(Optional.empty());
    }
    return AccessControl.authenticate(view, authorization(request))
        .flatMap(team -> AccessControl.authorizeService(team, service))
        .map(team -> Optional.of(team.getName()));
  }

  private static Result<BackendCall> createCall(
      FullHttpRequest request, String uri, ByteBuf body, RouteRequest route, long nowMs) {
    Result<OptionalLong> deadline = CallerHeaders.parseDeadlineMs(request.headers(), nowMs);
    return deadline.map(
        atMs ->
            new BackendCall(
                request.method(),
                uri,
                CallerHeaders.forBackend(request.headers()),
                body,
                route,
                atMs));
  }

  private static RouteRequest engineRouteRequest(Team team, String model, ByteBuf body) {
    return new RouteRequest(
        Optional.of(team.getName()),
        Optional.of(model),
        Optional.empty(),
        EventStreamUtil.estimatePromptTokens(body),
        Optional.empty(),
        true);
  }

  private static RouteRequest serviceRouteRequest(
      Optional<String> team, Service service, String below) {
    boolean idempotent =
        service.getIdempotentPaths().stream().anyMatch(prefix -> isWithin(below, prefix));
    return new RouteRequest(
        team, Optional.empty(), Optional.of(service.getName()), 0, Optional.empty(), idempotent);
  }

  /** Tells whether a path is the prefix itself or one of its children. */
  static boolean isWithin(String path, String prefix) {
    String start = prefix.startsWith("/") ? prefix.substring(1) : prefix;
    String parent = start.endsWith("/") ? start.substring(0, start.length() - 1) : start;
    return path.equals(parent) || parent.isEmpty() || path.startsWith(parent + "/");
  }

  /** Finds paths that could pass as idempotent here and as something else behind. */
  private static boolean isAmbiguous(String path) {
    return path.contains("/../")
        || path.contains("/./")
        || path.endsWith("/..")
        || path.endsWith("/.")
        || path.contains("//")
        || path.indexOf('\\') >= 0
        || path.indexOf('%') >= 0
        || path.indexOf(';') >= 0;
  }

  /** Finds the model without building a tree of a body that may be megabytes long. */
  private static Result<String> parseModel(ByteBuf body) {
    Optional<String> model = Optional.empty();
    try (JsonParser parser = JSON.createParser(body.array(), 0, body.readableBytes())) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return badBody("The body is not a JSON object.");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String field = parser.currentName();
        JsonToken value = parser.nextToken();
        if (field.equals("model") && value == JsonToken.VALUE_STRING) {
          if (model.isPresent()) {
            return badBody("The body has the field \"model\" twice.");
          }
          model = Optional.of(parser.getText());
        }
        parser.skipChildren();
      }
      if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
        return badBody("The body is not one whole JSON object.");
      }
    } catch (IOException e) {
      return badBody("The body is not JSON.");
    }
    return model
        .filter(name -> !name.isEmpty())
        .<Result<String>>map(Result::success)
        .orElseGet(() -> badBody("The body has no field \"model\" with a name."));
  }

  private static Result<String> badBody(String message) {
    return Result.failed(EntryFailure.notRun(400, "bad_body", message));
  }
}
