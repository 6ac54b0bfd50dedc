/**
 * Decides which requests wait at an entry while a service is full, in which order they are sent,
 * which of them are refused, and when a refused caller should return. Load pattern: bursts of one
 * kind of request at 1.9 to 2.5 times the usual rate, in turn every few seconds, and callers that
 * repeat at once. {@link io.samphiregauge.core.queue.ServiceQueue} is the front class; it opens
 * only while the service has no free place.
 */
package io.samphiregauge.core.queue;
