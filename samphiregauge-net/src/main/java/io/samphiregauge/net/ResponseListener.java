package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Receives the response to one request, part by part, on the event loop of the connection. Unless
 * the request is abandoned, either the last part or a failure ends the response, never both.
 *
 * @param accepts tests whether a response head belongs to this request; a response that it rejects,
 *     such as a duplicate of an earlier one from a faulty server, is skipped
 * @param onPart receives a part and must release it; the last one is a {@code LastHttpContent}
 * @param onBatchEnd runs after the parts that were read together, and after the last part
 * @param onFailure receives the reason why the response stays incomplete
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
   * @param onBatchEnd runs after the parts that were read together, and after the last part
   * @param onFailure receives the reason why the response stays incomplete
   */
  public ResponseListener(
      Consumer<HttpObject> onPart, Runnable onBatchEnd, Consumer<NetFailure> onFailure) {
    this(head -> true, onPart, onBatchEnd, onFailure);
  }
}
