package io.samphiregauge.gateway.traffic;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.site.RequestKind;
import io.samphiregauge.core.stream.ServiceVersion;
import io.samphiregauge.core.stream.StreamBinding;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Binds the stream of one request to a software version: to the one that began it, if the caller
 * takes it up, or else to that of the server which sends its first event. Confined to one event
 * loop.
 */
final class StreamBinder {
  /** Retry-After if the version is unknown; the record of a running stream is stored by then. */
  private static final long RETRY_MS = 250;

  private final EventLoopContext context;
  private final RoutedRequest request;
  private final RequestDecisionLog log;
  private final StreamBinding binding = new StreamBinding();

  StreamBinder(EventLoopContext context, RoutedRequest request, RequestDecisionLog log) {
    this.context = context;
    this.request = request;
    this.log = log;
  }

  StreamBinding binding() {
    return binding;
  }

  /**
   * Finds the version of a stream that the caller resumes.
   *
   * @param handler receives the error to send if the version is unknown; called at once for other
   *     requests
   */
  void resolve(Consumer<Optional<ErrorResponse>> handler) {
    if (!request.isResumption()) {
      handler.accept(Optional.empty());
      return;
    }
    context.findStreamVersion(request, version -> handler.accept(onVersionFound(version)));
  }

  private Optional<ErrorResponse> onVersionFound(Optional<String> version) {
    log.add(
        "resumption",
        "attempt=%s version=%s"
            .formatted(request.meta().resumedAttemptId().orElse("-"), version.orElse("-")));
    version.ifPresent(binding::bind);
    return version.isPresent()
        ? Optional.empty()
        : Optional.of(
            ErrorResponse.notRun(
                "stream_version_unknown",
                "It is not known which software version began the stream.",
                RETRY_MS));
  }

  /** Records that a server has sent an event; only the first one binds the stream. */
  void onEvent(BackendServer server) {
    if (binding.version().isPresent()) {
      return;
    }
    binding.bind(server.softwareVersion());
    if (request.route().kind() == RequestKind.RESUMABLE_STREAM) {
      request
          .meta()
          .attemptId()
          .ifPresent(id -> context.reportStreamBegun(id, ServiceVersion.of(server)));
    }
  }
}
