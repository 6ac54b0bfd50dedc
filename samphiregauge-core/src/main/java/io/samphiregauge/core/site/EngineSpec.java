package io.samphiregauge.core.site;

/**
 * The capacity of each model engine of a service.
 *
 * @param slots number of requests that an engine runs concurrently
 * @param kvTokens capacity of the KV cache of an engine, in tokens
 * @param transferMsPerToken time to transfer the KV cache of one token between two engines of a
 *     failure domain, in milliseconds
 * @param kvBytesPerToken size of the KV cache of one token, in bytes; 0 if unknown
 * @param keepsBackups whether engines keep copies of the KV caches of other engines' runs
 */
public record EngineSpec(
    int slots,
    long kvTokens,
    double transferMsPerToken,
    double kvBytesPerToken,
    boolean keepsBackups) {}
