/** Benchmarks of single decisions, and experiments that measure the product against baselines. */
package io.samphiregauge.bench;
