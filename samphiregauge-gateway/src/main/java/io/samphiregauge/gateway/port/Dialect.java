package io.samphiregauge.gateway.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiregauge.core.result.Result;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Functions that parse and write the platform's HTTP headers and messages of engines.
 *
 * @param requestParser extracts metadata from the headers of a caller's request
 * @param headerRewriter replaces the headers of a forwarded request that only the gateway may set
 * @param responseParser extracts metadata from the headers of a backend server's response
 * @param kvHandleParser extracts the KV cache handle from the body of a prefill-only response
 * @param kvFreePath returns the path of the DELETE request that frees the KV cache with a handle
 */
public record Dialect(
    Function<HttpRequest, RequestMeta> requestParser,
    BiConsumer<HttpHeaders, ForwardingContext> headerRewriter,
    Function<HttpResponse, ResponseMeta> responseParser,
    Function<byte[], Result<String>> kvHandleParser,
    Function<String, String> kvFreePath) {}
