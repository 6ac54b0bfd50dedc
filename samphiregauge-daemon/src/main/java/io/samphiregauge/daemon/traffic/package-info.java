/** Traffic handling of an entry: callers, backend servers, tickets over HTTP and the directory. */
package io.samphiregauge.daemon.traffic;
