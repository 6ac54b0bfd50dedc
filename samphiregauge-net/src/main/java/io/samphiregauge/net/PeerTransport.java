package io.samphiregauge.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.peer.PeerHello;
import io.samphiregauge.schema.record.Incarnation;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;

/**
 * Sends and receives messages between entries over TCP, as MessagePack frames with a 4-byte length
 * prefix. Each direction uses its own connection. A message is dropped if its connection fails or
 * its write buffer is full; the protocols resend what must arrive.
 */
public final class PeerTransport implements AutoCloseable {
  /** Largest frame, in bytes, without the length prefix. */
  public static final int MAX_FRAME_BYTES = 1024 * 1024;

  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int WRITE_TIMEOUT_S = 5;

  /**
   * Time without received data after which an inbound connection is closed. The sender has failed
   * or currently sends to other members; it reconnects when it next sends a message to this entry.
   */
  private static final int READ_TIMEOUT_S = 120;

  private final EventLoopGroup loops;
  private final Incarnation self;
  private final Address address;
  private final Consumer<Failure> failures;
  private final ChannelGroup channels;
  private final ConcurrentMap<String, ChannelFuture> outgoing = new ConcurrentHashMap<>();

  private PeerTransport(
      EventLoopGroup loops,
      Incarnation self,
      Address address,
      Consumer<Failure> failures,
      ChannelGroup channels) {
    this.loops = loops;
    this.self = self;
    this.address = address;
    this.failures = failures;
    this.channels = channels;
  }

  /**
   * Starts accepting connections from other entries.
   *
   * @param loops event loops of the connections; the transport does not shut them down
   * @param address address to bind; port 0 selects a free port
   * @param self identity of this process, sent in the hello message
   * @param listener receives the messages
   * @param failures receives the failures caused by invalid addresses, frames and messages
   * @return the transport, or the reason why the address could not be bound
   */
  public static Result<PeerTransport> start(
      EventLoopGroup loops,
      Address address,
      Incarnation self,
      PeerMessageListener listener,
      Consumer<Failure> failures) {
    // With stayClosed, the group would close every channel that is added after disconnect().
    ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, false);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channels.add(channel);
                    configureInbound(channel, listener, failures);
                  }
                });
    var bound = bootstrap.bind(address.toSocketAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      return Result.failed(
          new NetFailure.NotConnected(address.toString(), String.valueOf(bound.cause())));
    }
    channels.add(bound.channel());
    Address boundAddress = Address.of((InetSocketAddress) bound.channel().localAddress());
    return Result.success(new PeerTransport(loops, self, boundAddress, failures, channels));
  }

  static void configureInbound(
      Channel channel, PeerMessageListener listener, Consumer<Failure> failures) {
    channel
        .pipeline()
        .addLast(new ReadTimeoutHandler(READ_TIMEOUT_S))
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new PeerFrameHandler(listener, failures));
  }

  /** Returns the bound address, which other entries connect to. */
  public Address address() {
    return address;
  }

  /**
   * Sends a message. Thread-safe.
   *
   * @param peerAddress address of the receiver
   * @param message the message
   */
  public void send(String peerAddress, PeerMessage message) {
    send(List.of(peerAddress), message);
  }

  /**
   * Encodes a message once and sends it to several entries. Thread-safe.
   *
   * @param peerAddresses addresses of the receivers
   * @param message the message
   */
  public void send(List<String> peerAddresses, PeerMessage message) {
    byte[] frame = Codec.messagePack().encode(message);
    for (String peerAddress : peerAddresses) {
      Result<Address> target = Address.parse(peerAddress);
      target.failure().ifPresent(failures);
      target.value().ifPresent(peer -> send(peer, frame));
    }
  }

  private void send(Address peer, byte[] frame) {
    if (frame.length > MAX_FRAME_BYTES) {
      failures.accept(
          new NetFailure.BadFrame(
              peer.toString(), frame.length + " bytes exceed the limit of " + MAX_FRAME_BYTES));
      return;
    }
    ChannelFuture connection = outgoing.computeIfAbsent(peer.toString(), key -> connect(peer));
    connection.addListener(
        (ChannelFuture connected) -> {
          if (connected.isSuccess() && connected.channel().isWritable()) {
            connected.channel().writeAndFlush(Unpooled.wrappedBuffer(frame));
          }
        });
  }

  private ChannelFuture connect(Address peer) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channels.add(channel);
                    channel
                        .pipeline()
                        .addLast(new WriteTimeoutHandler(WRITE_TIMEOUT_S))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new OutboundOnlyHandler());
                  }
                })
            .connect(peer.toSocketAddress());
    connecting
        .channel()
        .closeFuture()
        .addListener(closed -> outgoing.remove(peer.toString(), connecting));
    PeerHello hello = new PeerHello(self, address.toString());
    connecting.addListener(
        (ChannelFuture connected) -> {
          if (connected.isSuccess()) {
            connected
                .channel()
                .writeAndFlush(Unpooled.wrappedBuffer(Codec.messagePack().encode(hello)));
          } else {
            outgoing.remove(peer.toString(), connecting);
          }
        });
    return connecting;
  }

  /** Closes all open connections; later messages open new ones. */
  public void disconnect() {
    channels.close(channel -> channel instanceof SocketChannel).awaitUninterruptibly();
  }

  @Override
  public void close() {
    channels.close().awaitUninterruptibly();
  }
}
