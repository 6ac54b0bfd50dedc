package io.samphiregauge.gateway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.dispatch.ServerLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SlotRoomTest {
  private final List<ServerLoad> servers = new ArrayList<>();
  private boolean shared;
  private boolean stale;
  private int share;
  private final SlotRoom room =
      new SlotRoom(service -> servers, (service, nowMs) -> share, () -> shared, () -> stale);

  private ServerLoad addServer() {
    BackendServer server =
        new BackendServer(
            "i" + servers.size(),
            1,
            "s",
            "v1",
            "10.0.0.1:80",
            "d",
            2,
            false,
            Optional.empty(),
            false);
    servers.add(new ServerLoad(server, 0, 40));
    return servers.get(servers.size() - 1);
  }

  private int freePlaces() {
    return room.freePlaces("s", 0);
  }

  /** Guards against refusals that rest on old loads, or on an account that nobody keeps. */
  @Test
  void thereIsRoomWhileNothingIsKnownOfIt() {
    assertThat(freePlaces()).isEqualTo(Integer.MAX_VALUE);
    addServer().setOtherEntriesLoad(50, 0);
    stale = true;
    assertThat(freePlaces()).isEqualTo(Integer.MAX_VALUE);
  }

  /** Guards against waits behind a server that is full while others have free slots. */
  @Test
  void freeSlotsAreCountedWhileLoadsAreFresh() {
    addServer().setOtherEntriesLoad(50, 0);
    addServer().recordSent(0);
    assertThat(freePlaces()).isEqualTo(1);
  }

  /** Guards against a share below one place that holds the only request of an entry. */
  @Test
  void anEntryWithoutARequestInFlightMaySendOne() {
    ServerLoad server = addServer();
    stale = true;
    shared = true;
    assertThat(freePlaces()).isEqualTo(1);
    server.recordSent(0);
    assertThat(freePlaces()).isZero();
    share = 3;
    assertThat(freePlaces()).isEqualTo(3);
  }
}
