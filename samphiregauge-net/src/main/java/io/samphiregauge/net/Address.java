package io.samphiregauge.net;

import io.netty.util.NetUtil;
import io.samphiregauge.core.result.Result;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * An IP number with a port.
 *
 * @param ip IPv4 number, or IPv6 number without brackets
 * @param port port, 0 for any free one
 */
public record Address(String ip, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Reads an address such as {@code 127.0.0.1:8080} or {@code [::1]:8080}.
   *
   * @param text the address
   * @return the address, or that the text is not one; names are not looked up
   */
  public static Result<Address> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return Result.failed(new NetFailure.BadAddress(text));
    }
    String ip = text.substring(0, colon).replace("[", "").replace("]", "");
    String digits = text.substring(colon + 1);
    boolean valid =
        (NetUtil.isValidIpV4Address(ip) || NetUtil.isValidIpV6Address(ip))
            && digits.matches("\\d{1,5}")
            && Integer.parseInt(digits) <= MAX_PORT;
    return valid
        ? Result.success(new Address(ip, Integer.parseInt(digits)))
        : Result.failed(new NetFailure.BadAddress(text));
  }

  /**
   * Returns the address of a bound or connected socket.
   *
   * @param socket address of the socket
   * @return the same address
   */
  public static Address of(InetSocketAddress socket) {
    return new Address(socket.getAddress().getHostAddress(), socket.getPort());
  }

  /**
   * Returns the address in the form that Netty takes.
   *
   * @return a resolved socket address
   */
  public InetSocketAddress toSocketAddress() {
    try {
      byte[] bytes = NetUtil.createByteArrayFromIpAddressString(ip);
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("ip: " + ip, e);
    }
  }

  @Override
  public String toString() {
    return ip.indexOf(':') < 0 ? ip + ":" + port : "[" + ip + "]:" + port;
  }
}
