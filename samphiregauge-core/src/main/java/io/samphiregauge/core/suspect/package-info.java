/**
 * Isolates and blocks requests that crash engines. The requests on a crashed engine become
 * suspects. A suspect runs only on an engine that no other unproven request uses, and is blocked if
 * it crashes a second engine.
 *
 * <p>The control thread owns the {@link io.samphiregauge.core.suspect.SuspicionState}; traffic
 * threads read its {@link io.samphiregauge.core.suspect.SuspicionView}.
 */
package io.samphiregauge.core.suspect;
