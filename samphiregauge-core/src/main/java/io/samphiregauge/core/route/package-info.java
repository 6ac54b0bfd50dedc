/** Routing and placement of requests on backend servers and engines. */
package io.samphiregauge.core.route;
