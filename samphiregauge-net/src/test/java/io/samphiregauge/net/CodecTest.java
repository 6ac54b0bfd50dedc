package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.PeerMessage;
import io.samphiregauge.schema.order.ChangeRole;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.peer.RecordAt;
import io.samphiregauge.schema.peer.RecordsReply;
import io.samphiregauge.schema.peer.UsageQuery;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.LogRecord;
import io.samphiregauge.schema.record.OrderIntent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against messages that change when encoded and decoded, and against decoder exceptions. */
class CodecTest {
  private static final Incarnation WRITER = new Incarnation("vm1", 1L, Long.MIN_VALUE);

  @Test
  void roundTripsNestedKindsAndAbsentFields() {
    for (Codec codec : List.of(Codec.json(), Codec.messagePack())) {
      RecordsReply reply = reply();
      assertThat(codec.decode(codec.encode(reply), PeerMessage.class).value()).contains(reply);
    }
  }

  @Test
  void writesKindInJson() {
    String json = new String(Codec.json().encode(new UsageQuery(3L)), StandardCharsets.UTF_8);
    assertThat(json).isEqualTo("{\"kind\":\"UsageQuery\",\"window\":3}");
  }

  @Test
  void rejectsUnknownKind() {
    byte[] json = "{\"kind\":\"java.lang.Runtime\"}".getBytes(StandardCharsets.UTF_8);
    assertThat(Codec.json().decode(json, PeerMessage.class).failure().map(Failure::type))
        .contains("bad_message");
  }

  @Test
  void rejectsLengthBeyondInputWithoutAllocatingIt() {
    byte[] textOfTwoGigabytes = {(byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 'a'};
    var decoded = Codec.messagePack().decode(textOfTwoGigabytes, PeerMessage.class);
    assertThat(decoded.failure().map(Failure::type)).contains("bad_message");
  }

  @Property(seed = "4711", tries = 2_000)
  void returnsTypedResultForArbitraryBytes(@ForAll byte[] bytes) {
    var decoded = Codec.messagePack().decode(bytes, PeerMessage.class);
    assertThat(decoded.value().isPresent() || decoded.failure().isPresent()).isTrue();
  }

  private static RecordsReply reply() {
    LogRecord ended = new LogRecord(WRITER, 1L, new Ended(WRITER));
    LogRecord intent =
        new LogRecord(WRITER, 2L, new OrderIntent("e1", 5L, new ChangeRole(EngineRole.DECODE)));
    return new RecordsReply(7L, 12L, List.of(new RecordAt(8L, ended), new RecordAt(9L, intent)));
  }
}
