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

/** Parses and authorizes HTTP requests: returns a call for a backend server or the rejection. */
final class CallParser {
  static final String SERVICES_PATH = "/v1/services/";

  private static final JsonFactory JSON = new JsonFactory();

  private CallParser() {}

  /** Parses a completion request, whose JSON body names the model. */
  static Result<BackendCall> parseCompletion(
      FullHttpRequest request, TrafficView view, long nowMs) {
    ByteBuf body = Unpooled.copiedBuffer(request.content());
    Result<Team> team = AccessControl.authenticate(view, authorization(request));
    if (!request.method().equals(HttpMethod.POST)) {
      return Result.failed(
          EntryFailure.notRun(405, "method_not_allowed", "This route accepts only POST requests."));
    }
    return team.flatMap(
        authenticated ->
            parseModel(body)
                .flatMap(
                    model ->
                        AccessControl.authorizeModel(authenticated, model)
                            .map(authorized -> engineRouteRequest(authorized, model, body)))
                .flatMap(
                    routeRequest -> createCall(request, request.uri(), body, routeRequest, nowMs)));
  }

  /** Parses a request for a plain service, to which only the path below its name is forwarded. */
  static Result<BackendCall> parseServiceCall(
      FullHttpRequest request, String path, TrafficView view, long nowMs) {
    String nameAndPath = path.substring(SERVICES_PATH.length());
    int slash = nameAndPath.indexOf('/');
    String name = slash < 0 ? nameAndPath : nameAndPath.substring(0, slash);
    String subPath = slash < 0 ? "" : nameAndPath.substring(slash + 1);
    if (isAmbiguous(path)) {
      return Result.failed(
          EntryFailure.notRun(
              400,
              "ambiguous_path",
              "The path contains a part that a backend server may interpret differently."));
    }
    Optional<Service> service = view.config().service(name);
    if (service.isEmpty()) {
      return unknownService(request, view, name);
    }
    return serviceTeam(request, view, service.get())
        .flatMap(
            team -> {
              ByteBuf body = Unpooled.copiedBuffer(request.content());
              String uri = "/" + subPath + request.uri().substring(path.length());
              return createCall(
                  request, uri, body, serviceRouteRequest(team, service.get(), subPath), nowMs);
            });
  }

  static Optional<String> authorization(FullHttpRequest request) {
    return CallerHeaders.get(request.headers(), HttpHeaderNames.AUTHORIZATION);
  }

  /**
   * Reports an unknown service only to an authenticated team, so that other callers cannot probe
   * for service names; while the view is not fresh, it reports that instead.
   */
  private static Result<BackendCall> unknownService(
      FullHttpRequest request, TrafficView view, String name) {
    return AccessControl.authenticate(view, authorization(request))
        .flatMap(
            team ->
                Result.failed(
                    EntryFailure.notRun(
                        404, "unknown_service", "Service \"%s\" does not exist.".formatted(name))));
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
      FullHttpRequest request, String uri, ByteBuf body, RouteRequest routeRequest, long nowMs) {
    Result<OptionalLong> deadline = CallerHeaders.parseDeadlineMs(request.headers(), nowMs);
    return deadline.map(
        deadlineMs ->
            new BackendCall(
                request.method(),
                uri,
                CallerHeaders.forBackend(request.headers()),
                body,
                routeRequest,
                deadlineMs));
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
      Optional<String> team, Service service, String subPath) {
    boolean idempotent =
        service.getIdempotentPaths().stream().anyMatch(prefix -> isWithin(subPath, prefix));
    return new RouteRequest(
        team, Optional.empty(), Optional.of(service.getName()), 0, Optional.empty(), idempotent);
  }

  /** Returns whether a path equals the prefix or is below it, by whole path segments. */
  static boolean isWithin(String path, String prefix) {
    String start = prefix.startsWith("/") ? prefix.substring(1) : prefix;
    String parent = start.endsWith("/") ? start.substring(0, start.length() - 1) : start;
    return path.equals(parent) || parent.isEmpty() || path.startsWith(parent + "/");
  }

  /**
   * Returns whether a path could match an idempotent prefix here but resolve to another path on the
   * backend server.
   */
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

  /** Extracts the model with a streaming parser, since a body may be megabytes long. */
  private static Result<String> parseModel(ByteBuf body) {
    Optional<String> model = Optional.empty();
    try (JsonParser parser = JSON.createParser(body.array(), 0, body.readableBytes())) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return badBody("The body is not a JSON object.");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String field = parser.currentName();
        JsonToken token = parser.nextToken();
        if (field.equals("model") && token == JsonToken.VALUE_STRING) {
          if (model.isPresent()) {
            return badBody("The body has more than one field \"model\".");
          }
          model = Optional.of(parser.getText());
        }
        parser.skipChildren();
      }
      if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
        return badBody("The body is not a single complete JSON object.");
      }
    } catch (IOException e) {
      return badBody("The body is not valid JSON.");
    }
    return model
        .filter(name -> !name.isEmpty())
        .<Result<String>>map(Result::success)
        .orElseGet(() -> badBody("The body has no non-empty string field \"model\"."));
  }

  private static Result<String> badBody(String message) {
    return Result.failed(EntryFailure.notRun(400, "bad_body", message));
  }
}
