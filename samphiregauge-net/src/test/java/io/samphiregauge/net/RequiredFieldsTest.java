package io.samphiregauge.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.platform.VmEntry;
import io.samphiregauge.schema.platform.VmKind;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against decoded messages in which a required field is missing or null. */
class RequiredFieldsTest {
  @Test
  void omitsAbsentFields() {
    VmEntry vm = new VmEntry("vm1", "127.0.0.1:1", "a", VmKind.ENTRY, false);
    assertThat(json(vm)).doesNotContain("reclaimInMs", "null");
  }

  @Test
  void rejectsMissingNullAndUnknownFields() {
    String complete =
        """
        {"name":"vm1","address":"127.0.0.1:1","failureDomain":"a","kind":"entry","leaving":false}""";
    assertThat(decode(complete).failure()).isEmpty();
    assertThat(failure(complete.replace("\"name\":\"vm1\",", ""))).contains("name");
    assertThat(failure(complete.replace("\"vm1\"", "null"))).contains("name");
    assertThat(failure(complete.replace(",\"leaving\":false", ""))).contains("leaving");
    assertThat(failure(complete.replace("}", ",\"other\":1}"))).contains("other");
  }

  @Property(seed = "17", tries = 500)
  void returnsTypedFailureForArbitraryBytes(@ForAll byte[] bytes) {
    var decoded = Codec.messagePack().decode(bytes, VmEntry.class);
    assertThat(decoded.failure()).containsInstanceOf(NetFailure.BadMessage.class);
  }

  private static Result<VmEntry> decode(String json) {
    return Codec.json().decode(json.getBytes(StandardCharsets.UTF_8), VmEntry.class);
  }

  private static String failure(String json) {
    return decode(json).failure().orElseThrow().message();
  }

  private static String json(Object message) {
    return new String(Codec.json().encode(message), StandardCharsets.UTF_8);
  }
}
