package io.samphiregauge.net;

import io.netty.handler.codec.http.HttpObject;
import java.util.function.Consumer;

/**
 * Takes the answer to one request, part by part. Exactly one of the last part and a failure ends
 * it.
 *
 * @param part takes a part, with the duty to release it; the last one is a {@code LastHttpContent}
 * @param batchEnd runs after the parts that arrived together
 * @param failed takes the reason why the answer will not become whole
 */
public record AnswerSink(
    Consumer<HttpObject> part, Runnable batchEnd, Consumer<NetFailure> failed) {}
