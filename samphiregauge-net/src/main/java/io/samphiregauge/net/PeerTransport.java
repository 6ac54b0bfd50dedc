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
 * Carries messages between entries in TCP frames of a 4-byte length and MessagePack. Each direction
 * has its own connection. A message is dropped where the connection fails or is congested; the
 * protocols repeat what matters.
 */
public final class PeerTransport implements AutoCloseable {
  /** Largest frame. */
  public static final int MAX_FRAME_BYTES = 1024 * 1024;

  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int WRITE_TIMEOUT_S = 5;

  /** An entry that sends nothing for so long has chosen other members to talk to. */
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
   * Starts to accept connections of other entries.
   *
   * @param loops event loops that carry the connections; they stay the caller's
   * @param address address to bind, with port 0 for a free one
   * @param self this process
   * @param listener takes the messages
   * @param failures takes what is wrong with connections and frames
   * @return the transport, or why the address could not be bound
   */
  public static Result<PeerTransport> start(
      EventLoopGroup loops,
      Address address,
      Incarnation self,
      PeerMessageListener listener,
      Consumer<Failure> failures) {
    // A group that stays closed would refuse every connection after disconnect().
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

  /** Returns the address that other entries use. */
  public Address address() {
    return address;
  }

  /**
   * Sends a message; safe for all threads.
   *
   * @param peerAddress address of the receiver
   * @param message the message
   */
  public void send(String peerAddress, PeerMessage message) {
    send(List.of(peerAddress), message);
  }

  /**
   * Sends a message to several entries, and encodes it once; safe for all threads.
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
          new NetFailure.BadFrame(peer.toString(), frame.length + " bytes are too many to send"));
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

  /** Ends all connections that stand; later messages open new ones. */
  public void disconnect() {
    channels.close(channel -> channel instanceof SocketChannel).awaitUninterruptibly();
  }

  @Override
  public void close() {
    channels.close().awaitUninterruptibly();
  }
}
