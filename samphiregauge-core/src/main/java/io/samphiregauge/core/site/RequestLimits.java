package io.samphiregauge.core.site;

/**
 * Sizes up to which requests of callers are accepted.
 *
 * @param maxHeaderBytes largest request head, in bytes
 * @param maxBodyBytes largest request body, in bytes
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes) {}
