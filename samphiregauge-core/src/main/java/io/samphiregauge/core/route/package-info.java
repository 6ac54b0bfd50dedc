/** Choice of a backend server for a request. */
package io.samphiregauge.core.route;
