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
 * @param requestParser reads the head of a caller's request
 * @param headerRewriter replaces the headers of a request that are the gateway's to set
 * @param responseParser reads the head of a server's answer
 * @param kvHandleParser reads the answer to a request that was prefilled only
 * @param kvFreePath path of the DELETE request that frees a KV cache
 */
public record Dialect(
    Function<HttpRequest, RequestMeta> requestParser,
    BiConsumer<HttpHeaders, ForwardingContext> headerRewriter,
    Function<HttpResponse, ResponseMeta> responseParser,
    Function<byte[], Result<String>> kvHandleParser,
    Function<String, String> kvFreePath) {}
