/** HTTP and peer frames over Netty, their codecs, and the reader of settings. */
package io.samphiregauge.net;
