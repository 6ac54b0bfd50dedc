package io.samphiregauge.gateway.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiregauge.core.result.Result;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * How the platform's callers and servers write what the gateway needs to know.
 *
 * @param call reads the head of a caller's request
 * @param forward replaces the headers of a request that are the gateway's to set
 * @param answer reads the head of a server's answer
 * @param kvHandle reads the answer to a request that was prefilled only
 * @param freePath path of the DELETE request that frees a KV cache
 */
public record Dialect(
    Function<HttpRequest, CallMeta> call,
    BiConsumer<HttpHeaders, Forwarding> forward,
    Function<HttpResponse, AnswerMeta> answer,
    Function<byte[], Result<String>> kvHandle,
    Function<String, String> freePath) {}
