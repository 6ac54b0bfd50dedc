package io.samphiregauge.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class StreamOriginTableTest {
  private static final ServiceVersion PLANNER = new ServiceVersion("planner", "v1");
  private static final ServiceVersion DESK = new ServiceVersion("desk", "v1");

  private final StreamOriginTable origins = new StreamOriginTable();

  /** Guards against records that are not written, or written twice. */
  @Test
  void recordsOfSelectedServicesAreTakenOnce() {
    origins.addOwn("a", PLANNER, 0);
    origins.addOwn("b", DESK, 1);
    origins.addStored("c", PLANNER, 2);
    assertThat(origins.takeUnwritten("planner"::equals, 3).attemptsByOrigin())
        .containsOnlyKeys(PLANNER)
        .containsEntry(PLANNER, List.of("a"));
    assertThat(origins.hasUnwritten("planner"::equals)).isFalse();
    assertThat(origins.hasUnwritten("desk"::equals)).isTrue();
  }

  /** Guards against records that are lost with a failed write. */
  @Test
  void recordsOfAFailedWriteAreTakenAgain() {
    origins.addOwn("a", PLANNER, 0);
    StreamOriginTable.Batch batch = origins.takeUnwritten(any -> true, 1);
    origins.putBack(batch);
    assertThat(origins.takeUnwritten(any -> true, 2).attemptsByOrigin())
        .containsEntry(PLANNER, List.of("a"));
  }

  /** Guards against memory that grows with the age of the process. */
  @Test
  void recordsExpire() {
    origins.addOwn("a", PLANNER, 0);
    origins.addOwn("b", PLANNER, VersionLedger.SETTLE_MS);
    assertThat(origins.find("a")).contains(PLANNER);
    origins.addOwn("c", PLANNER, VersionLedger.SETTLE_MS + 1);
    assertThat(origins.find("a")).isEmpty();
    assertThat(origins.find("b")).contains(PLANNER);
  }
}
