package io.samphiregauge.daemon.traffic;

import io.netty.handler.codec.http.HttpObject;
import java.util.function.Consumer;

/**
 * Receives the response to a call: either all parts up to the last one, some parts followed by an
 * abort, or a failure without any parts.
 *
 * @param write receives a part and must release it
 * @param flush runs after a batch of parts that arrived together
 * @param fail receives the reason why there is no response
 * @param abort runs when a response that has started cannot be completed
 */
record ResponseSink(
    Consumer<HttpObject> write, Runnable flush, Consumer<EntryFailure> fail, Runnable abort) {}
