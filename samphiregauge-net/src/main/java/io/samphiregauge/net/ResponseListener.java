package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Takes the answer to one request, part by part. Exactly one of the last part and a failure ends
 * it.
 *
 * @param accepts tells whether a head belongs to this request; the answer to an earlier request,
 *     which a faulty server may send once more, is skipped
 * @param onPart takes a part, with the duty to release it; the last one is a {@code
 *     LastHttpContent}
 * @param onBatchEnd runs after the parts that arrived together
 * @param onFailure takes the reason why the answer will not become whole
 */
public record ResponseListener(
    Predicate<HttpResponse> accepts,
    Consumer<HttpObject> onPart,
    Runnable onBatchEnd,
    Consumer<NetFailure> onFailure) {
  /**
   * Makes a sink that takes each answer as its own.
   *
   * @param onPart takes a part, with the duty to release it
   * @param onBatchEnd runs after the parts that arrived together
   * @param onFailure takes the reason why the answer will not become whole
   */
  public ResponseListener(
      Consumer<HttpObject> onPart, Runnable onBatchEnd, Consumer<NetFailure> onFailure) {
    this(head -> true, onPart, onBatchEnd, onFailure);
  }
}
