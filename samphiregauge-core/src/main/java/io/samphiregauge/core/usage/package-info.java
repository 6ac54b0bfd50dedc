/** Usage: counters of each entry, their copies, and reports that name each window once. */
package io.samphiregauge.core.usage;
