/**
 * Isolates and blocks requests that crash engines.
 *
 * <p>{@link io.samphiregauge.core.suspect.CrashAttribution} finds the prompt part, or the request,
 * that is common to several crashes, and blocks it. The gateway's control thread owns it; the
 * threads that forward requests read its {@link io.samphiregauge.core.suspect.CrashSuspects}.
 *
 * <p>The daemon uses {@link io.samphiregauge.core.suspect.SuspicionState} instead: the requests on
 * a crashed engine become suspects. A suspect runs only on an engine that no other unproven request
 * uses, and is blocked if it crashes a second engine. The control thread owns the state; traffic
 * threads read its {@link io.samphiregauge.core.suspect.SuspicionView}.
 */
package io.samphiregauge.core.suspect;
