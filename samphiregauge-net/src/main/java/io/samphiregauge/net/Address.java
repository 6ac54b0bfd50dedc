package io.samphiregauge.net;

import io.netty.util.NetUtil;
import io.samphiregauge.core.result.Result;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address with a port. Host names are not supported.
 *
 * @param ip IPv4 address, or IPv6 address without brackets
 * @param port TCP port; 0 binds any free port
 */
public record Address(String ip, int port) {
  private static final int MAX_PORT = 65_535;

  /** Netty's checks accept any character in the zone of an IPv6 address, even a line break. */
  private static final Pattern IP_AND_PORT =
      Pattern.compile(
          "(?:\\[([0-9A-Fa-f:.]+(?:%[\\w.-]+)?)]|([0-9A-Fa-f:.]+(?:%[\\w.-]+)?)):(\\d{1,5})");

  /**
   * Parses an address such as {@code 127.0.0.1:8080} or {@code [::1]:8080}.
   *
   * @param text IP address and port
   * @return the address, or {@link NetFailure.BadAddress}; host names are not resolved
   */
  public static Result<Address> parse(String text) {
    Matcher matcher = IP_AND_PORT.matcher(text);
    if (!matcher.matches()) {
      return Result.failed(new NetFailure.BadAddress(text));
    }
    String ip = Optional.ofNullable(matcher.group(1)).orElseGet(() -> matcher.group(2));
    int port = Integer.parseInt(matcher.group(3));
    boolean valid =
        (NetUtil.isValidIpV4Address(ip) || NetUtil.isValidIpV6Address(ip)) && port <= MAX_PORT;
    return valid
        ? Result.success(new Address(ip, port))
        : Result.failed(new NetFailure.BadAddress(text));
  }

  /**
   * Converts the address of a bound or connected socket.
   *
   * @param socket a resolved socket address
   * @return its IP address and port
   */
  public static Address of(InetSocketAddress socket) {
    return new Address(socket.getAddress().getHostAddress(), socket.getPort());
  }

  /**
   * Returns whether a single machine can be reached at this address.
   *
   * @return false for port 0, an unspecified address and a multicast address
   */
  public boolean isConnectable() {
    InetAddress address = toSocketAddress().getAddress();
    return port > 0 && !address.isAnyLocalAddress() && !address.isMulticastAddress();
  }

  /**
   * Converts this address to a socket address, without a DNS lookup.
   *
   * @return a resolved socket address, as Netty expects it
   */
  public InetSocketAddress toSocketAddress() {
    try {
      byte[] bytes = NetUtil.createByteArrayFromIpAddressString(ip);
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP address: " + ip, e);
    }
  }

  @Override
  public String toString() {
    return ip.indexOf(':') < 0 ? ip + ":" + port : "[" + ip + "]:" + port;
  }
}
