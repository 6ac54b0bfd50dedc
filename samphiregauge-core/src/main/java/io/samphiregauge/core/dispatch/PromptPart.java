package io.samphiregauge.core.dispatch;

/**
 * A part of a prompt that engines cache as a unit.
 *
 * @param id identifier of the content of the part
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
