/** What an adapter of a platform provides: functions that encode, decode and call. */
package io.samphiregauge.gateway.port;
