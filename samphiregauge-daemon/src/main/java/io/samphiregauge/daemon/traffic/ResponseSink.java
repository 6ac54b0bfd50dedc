package io.samphiregauge.daemon.traffic;

import io.netty.handler.codec.http.HttpObject;
import java.util.function.Consumer;

/**
 * Where the answer to a call goes. It takes either parts up to a last one, parts and a cut, or a
 * refusal.
 *
 * @param write takes a part, with the duty to release it
 * @param flush runs after the parts that arrived together
 * @param fail takes the reason why there is no answer
 * @param abort runs when an answer that has begun will not become whole
 */
record ResponseSink(
    Consumer<HttpObject> write, Runnable flush, Consumer<EntryFailure> fail, Runnable abort) {}
