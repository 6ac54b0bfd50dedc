/**
 * Decides which software versions may go on with a stream. What two versions write does not fit
 * together, so a stream that has begun continues only at servers of the version that began it.
 */
package io.samphiregauge.core.stream;
