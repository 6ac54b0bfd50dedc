/**
 * Which entries a caller is told to connect to. Load pattern: callers pick at random among the
 * addresses of an answer that they keep for seconds, while the entries differ by a factor of five
 * in processor and of twenty in link, and some are busy, starting or cut off from the store.
 */
package io.samphiregauge.core.directory;
