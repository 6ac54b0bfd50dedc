package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Takes the answer to one request, part by part. Exactly one of the last part and a failure ends
 * it.
 *
 * @param own tells whether a head belongs to this request; the answer to an earlier request, which
 *     a faulty server may send once more, is skipped
 * @param part takes a part, with the duty to release it; the last one is a {@code LastHttpContent}
 * @param batchEnd runs after the parts that arrived together
 * @param failed takes the reason why the answer will not become whole
 */
public record AnswerSink(
    Predicate<HttpResponse> own,
    Consumer<HttpObject> part,
    Runnable batchEnd,
    Consumer<NetFailure> failed) {
  /**
   * Makes a sink that takes each answer as its own.
   *
   * @param part takes a part, with the duty to release it
   * @param batchEnd runs after the parts that arrived together
   * @param failed takes the reason why the answer will not become whole
   */
  public AnswerSink(Consumer<HttpObject> part, Runnable batchEnd, Consumer<NetFailure> failed) {
    this(head -> true, part, batchEnd, failed);
  }
}
