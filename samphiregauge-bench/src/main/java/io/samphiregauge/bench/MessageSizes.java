package io.samphiregauge.bench;

import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.RecordBody;
import io.samphiregauge.schema.order.Drain;
import io.samphiregauge.schema.peer.LoadDigest;
import io.samphiregauge.schema.peer.Member;
import io.samphiregauge.schema.peer.MemberExchange;
import io.samphiregauge.schema.peer.MemberState;
import io.samphiregauge.schema.peer.Probe;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.peer.SuspicionNotice;
import io.samphiregauge.schema.peer.TeamLoad;
import io.samphiregauge.schema.peer.UsageCopy;
import io.samphiregauge.schema.peer.UsageCounter;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LeaseRenewal;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.OrderIntent;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.schema.record.UsageSealed;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Prints the encoded size of messages between entries at three numbers of items with the increase
 * per item, and the size of log records.
 */
public final class MessageSizes {
  private static final Logger LOG = System.getLogger(MessageSizes.class.getName());
  private static final int SMALL = 8;
  private static final int MIDDLE = 64;
  private static final int LARGE = 560;

  private MessageSizes() {}

  /**
   * Runs the measurement.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    printMessage("probe_with_updates", n -> new Probe(1L, member(0), members(n)));
    printMessage("member_exchange", n -> new MemberExchange(member(0), members(n), false));
    printMessage(
        "usage_copy", n -> new UsageCopy(incarnation(0), 1L, list(n, MessageSizes::usageCounter)));
    printMessage(
        "load_digest", n -> new LoadDigest(incarnation(0), 1L, list(n, MessageSizes::teamLoad)));
    printMessage("suspicion_notice", MessageSizes::suspicionNotice);
    printRecord("lease_renewal", new LeaseRenewal("fleet/th-central", 123_456L));
    printRecord("joined", joined());
    printRecord("order_intent", new OrderIntent("engine-1", 123_456L, new Drain("replaced")));
    printRecord("usage_sealed_of_8", usageSealed(SMALL));
    printRecord("usage_sealed_of_64", usageSealed(MIDDLE));
    printRecord("usage_sealed_of_560", usageSealed(LARGE));
  }

  private static void printRecord(String name, RecordBody body) {
    LogRecord record = new LogRecord(incarnation(0), 123L, body);
    int bytes = Codec.json().encode(new RecordAt(123_456L, record)).length;
    LOG.log(Level.INFO, "message={0} json_bytes={1}", name, bytes);
  }

  private static Joined joined() {
    return new Joined("th-central", "th-central-a", "10.20.30.40:8080", "10.20.30.40:9090");
  }

  private static UsageSealed usageSealed(int count) {
    List<UsageFigure> figures = list(count, i -> usageCounter(i).getFigure());
    return new UsageSealed("th-central", 29_833_333L, 123_456L, figures, List.of());
  }

  private static void printMessage(String name, IntFunction<Object> message) {
    int small = bytes(message.apply(SMALL));
    int middle = bytes(message.apply(MIDDLE));
    int large = bytes(message.apply(LARGE));
    LOG.log(
        Level.INFO,
        "message={0} bytes_at_{1}={2} bytes_at_{3}={4} bytes_at_{5}={6} bytes_per_item={7}",
        name,
        SMALL,
        small,
        MIDDLE,
        middle,
        LARGE,
        large,
        (large - small) / (LARGE - SMALL));
  }

  private static int bytes(Object message) {
    return Codec.messagePack().encode(message).length;
  }

  private static <T> List<T> list(int count, IntFunction<T> item) {
    return IntStream.range(0, count).mapToObj(item).toList();
  }

  private static List<Member> members(int count) {
    return list(count, MessageSizes::member);
  }

  private static Incarnation incarnation(int index) {
    return new Incarnation("vm-" + index, 1_790_000_000_000L + index, 0x1234_5678_9abc_def0L);
  }

  private static Member member(int index) {
    return new Member(
        incarnation(index),
        "th-central",
        "th-central-a",
        "10.20.30.40:8080",
        "10.20.30.40:9090",
        MemberState.ALIVE,
        3L,
        123_456L,
        250L);
  }

  private static UsageCounter usageCounter(int index) {
    return new UsageCounter(
        29_833_333L,
        new UsageFigure(
            "temple-network-" + index, "assistant-large", 93L, 111_600L, 7_440L, 223_200L));
  }

  private static TeamLoad teamLoad(int index) {
    return new TeamLoad("temple-network-" + index, 12.5, 8, 1_234_567.5, 223_200L);
  }

  private static SuspicionNotice suspicionNotice(int count) {
    List<String> digests = list(count, i -> "0123456789abcdef0123456789abcdef%032x".formatted(i));
    return new SuspicionNotice(1L, "engine-1", digests, List.of(), List.of());
  }
}
