/** HTTP clients and servers, peer connections, codecs, logging and the settings reader. */
package io.samphiregauge.net;
