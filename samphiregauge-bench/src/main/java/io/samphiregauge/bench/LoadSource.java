package io.samphiregauge.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.samphiregauge.net.Address;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Generates load from callers that each send a request, wait for the complete response, pause, and
 * send the next request.
 */
final class LoadSource {
  private static final byte[] BODY =
      "{\"model\":\"m1\",\"prompt\":\"Which cloth is ready at the gate?\",\"max_tokens\":4}"
          .getBytes(StandardCharsets.US_ASCII);
  private static final long MAX_LATENCY_NS = TimeUnit.SECONDS.toNanos(60);
  private static final int SIGNIFICANT_DIGITS = 3;

  private final EventLoopGroup loops;
  private final int pauseUs;
  private final LongAdder responses = new LongAdder();
  private final LongAdder allResponses = new LongAdder();
  private final LongAdder failures = new LongAdder();
  private final Histogram latencyNs = new ConcurrentHistogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS);
  private volatile boolean measuring;
  private volatile boolean stopped;

  private LoadSource(EventLoopGroup loops, int pauseUs) {
    this.loops = loops;
    this.pauseUs = pauseUs;
  }

  /**
   * Results of a run.
   *
   * @param responsesPerSecond complete responses per second while measuring
   * @param allResponses complete responses of the whole run, warm-up included
   * @param p50Ns median latency in nanoseconds while measuring
   * @param p99Ns 99th percentile of the latency in nanoseconds while measuring
   * @param failures responses with a status other than 200, and closed connections
   */
  record Measurements(
      double responsesPerSecond, long allResponses, long p50Ns, long p99Ns, long failures) {}

  /**
   * Sends load, and measures it after the warm-up. Blocks until the run is over.
   *
   * @param callers number of connections
   * @param pauseUs pause of a caller between two requests, in microseconds
   */
  static Measurements run(
      EventLoopGroup loops, Address target, int callers, int pauseUs, int warmUpMs, int measureMs)
      throws InterruptedException {
    LoadSource source = new LoadSource(loops, pauseUs);
    List<Channel> channels = new ArrayList<>();
    for (int i = 0; i < callers; i++) {
      channels.add(source.connect(target));
    }
    channels.forEach(channel -> channel.eventLoop().execute(() -> source.send(channel)));
    TimeUnit.MILLISECONDS.sleep(warmUpMs);
    long startNs = System.nanoTime();
    source.measuring = true;
    TimeUnit.MILLISECONDS.sleep(measureMs);
    source.measuring = false;
    double seconds = (System.nanoTime() - startNs) / 1e9;
    source.stopped = true;
    channels.forEach(channel -> channel.close().awaitUninterruptibly());
    return new Measurements(
        source.responses.sum() / seconds,
        source.allResponses.sum(),
        source.latencyNs.getValueAtPercentile(50),
        source.latencyNs.getValueAtPercentile(99),
        source.failures.sum());
  }

  private Channel connect(Address target) {
    return new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new CallerHandler());
              }
            })
        .connect(target.toSocketAddress())
        .syncUninterruptibly()
        .channel();
  }

  private void send(Channel channel) {
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/completions", Unpooled.wrappedBuffer(BODY));
    request
        .headers()
        .set(HttpHeaderNames.HOST, "entry")
        .set(HttpHeaderNames.AUTHORIZATION, "Bearer secret")
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
    channel.pipeline().get(CallerHandler.class).startedNs = System.nanoTime();
    channel.writeAndFlush(request);
  }

  private final class CallerHandler extends ChannelInboundHandlerAdapter {
    private long startedNs;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
      if (part instanceof HttpResponse head && head.status().code() != 200) {
        failures.increment();
      }
      boolean last = part instanceof LastHttpContent;
      ReferenceCountUtil.release(part);
      if (last) {
        allResponses.increment();
      }
      if (last && !stopped) {
        recordLatency();
        sendNext(ctx);
      }
    }

    private void recordLatency() {
      if (measuring) {
        responses.increment();
        latencyNs.recordValue(Math.min(MAX_LATENCY_NS, System.nanoTime() - startedNs));
      }
    }

    private void sendNext(ChannelHandlerContext ctx) {
      if (pauseUs == 0) {
        send(ctx.channel());
      } else {
        ctx.executor().schedule(() -> send(ctx.channel()), pauseUs, TimeUnit.MICROSECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!stopped) {
        failures.increment();
      }
    }
  }
}
