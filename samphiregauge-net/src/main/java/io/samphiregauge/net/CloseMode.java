package io.samphiregauge.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;

/** What happens to written but undelivered bytes when a connection closes. */
public enum CloseMode {
  /** The kernel continues to deliver them, also after the process was killed. */
  GRACEFUL,

  /** The connection is reset and they are discarded, also if the process is killed. */
  RESET;

  void configure(Bootstrap bootstrap) {
    if (this == RESET) {
      bootstrap.option(ChannelOption.SO_LINGER, 0);
    }
  }
}
