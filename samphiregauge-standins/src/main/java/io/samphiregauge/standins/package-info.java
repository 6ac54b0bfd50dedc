/** HTTP stand-ins for the platform, its log service and backend servers, for tests and the demo. */
package io.samphiregauge.standins;
