package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Callbacks for the response to one request, called on the event loop of the connection. Unless the
 * request is abandoned, the response ends with either the last part or a failure.
 *
 * @param accepts returns whether a response head belongs to this request; if not, the response is
 *     skipped, for example a duplicate of an earlier one from a faulty server
 * @param onPart receives a part and must release it; the last part is a {@code LastHttpContent}
 * @param onBatchEnd runs after each batch of parts read from the socket, and after the last part
 * @param onFailure receives the reason why the response is incomplete
 */
public record ResponseListener(
    Predicate<HttpResponse> accepts,
    Consumer<HttpObject> onPart,
    Runnable onBatchEnd,
    Consumer<NetFailure> onFailure) {
  /**
   * Creates a listener that accepts every response.
   *
   * @param onPart receives a part and must release it
   * @param onBatchEnd runs after each batch of parts read from the socket, and after the last part
   * @param onFailure receives the reason why the response is incomplete
   */
  public ResponseListener(
      Consumer<HttpObject> onPart, Runnable onBatchEnd, Consumer<NetFailure> onFailure) {
    this(head -> true, onPart, onBatchEnd, onFailure);
  }
}
