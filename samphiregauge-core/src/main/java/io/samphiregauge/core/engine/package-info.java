/** What an entry knows of its engines: lagging reports, its own corrections, prefix caches. */
package io.samphiregauge.core.engine;
