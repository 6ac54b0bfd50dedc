package io.samphiregauge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.directory.EntryCapacity;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against members that other versions of the entry do not see during a rolling update. */
class GroupMemberTest {
  private static final GroupMember PLAIN =
      new GroupMember("edge-a-1", 17, "a", "10.1.0.1:80", "10.1.0.1:81");
  private static final GroupMember SIZED =
      new GroupMember(
          "edge-a-1",
          17,
          "a",
          "10.1.0.1:80",
          "10.1.0.1:81",
          Optional.of(new EntryCapacity(0.27, 17.5, 290, 3_075)));

  @Test
  void theTextOfEachVersionIsParsed() {
    assertThat(PLAIN.encode()).isEqualTo("edge-a-1|17|a|10.1.0.1:80|10.1.0.1:81");
    assertThat(GroupMember.parse(PLAIN.encode())).contains(PLAIN);
    assertThat(GroupMember.parse(SIZED.encode())).contains(SIZED);
  }

  /** An earlier version expects five fields, and orders the members by the first one. */
  @Test
  void earlierVersionsFindTheSameFieldsAndOrder() {
    String[] fields = SIZED.encode().split("\\|", -1);
    assertThat(fields).hasSize(5).contains("17", "a", "10.1.0.1:80", "10.1.0.1:81");
    assertThat(fields[0]).startsWith("edge-a-1").isLessThan("edge-a-10").isGreaterThan("edge-a-0");
  }

  @Test
  void anUnreadableCapacityLeavesTheMember() {
    String text = SIZED.encode().replace("290", "x");
    assertThat(GroupMember.parse(text)).contains(PLAIN);
    assertThat(GroupMember.parse("edge-a-1|x|a|b|c")).isEmpty();
  }
}
