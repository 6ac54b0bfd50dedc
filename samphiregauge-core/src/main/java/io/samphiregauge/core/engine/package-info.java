/** An entry's view of its engines: delayed load reports, local corrections and prefix caches. */
package io.samphiregauge.core.engine;
