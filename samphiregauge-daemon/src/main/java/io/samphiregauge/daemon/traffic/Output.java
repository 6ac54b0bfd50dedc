package io.samphiregauge.daemon.traffic;

import io.netty.handler.codec.http.HttpObject;
import java.util.function.Consumer;

/**
 * Where the answer to a call goes. It takes either parts up to a last one, parts and a cut, or a
 * refusal.
 *
 * @param part takes a part, with the duty to release it
 * @param batchEnd runs after the parts that arrived together
 * @param refuse takes the reason why there is no answer
 * @param cut runs when an answer that has begun will not become whole
 */
record Output(
    Consumer<HttpObject> part, Runnable batchEnd, Consumer<EntryFailure> refuse, Runnable cut) {}
