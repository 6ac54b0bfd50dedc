package io.samphiregauge.core.dispatch;

/**
 * A part of a prompt that engines cache as a whole.
 *
 * @param id identifier of the part
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
