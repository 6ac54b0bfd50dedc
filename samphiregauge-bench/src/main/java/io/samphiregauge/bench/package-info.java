/** JMH benchmarks of single operations, and experiments that compare entries with baselines. */
package io.samphiregauge.bench;
