/**
 * Requests that crash backend servers: after a crash its requests are suspects, which run alone
 * among unproven requests, and a suspect that crashes a second server is condemned.
 *
 * <p>The control thread owns the {@link io.samphiregauge.core.suspect.SuspicionState}; traffic
 * threads read its {@link io.samphiregauge.core.suspect.SuspicionView}.
 */
package io.samphiregauge.core.suspect;
