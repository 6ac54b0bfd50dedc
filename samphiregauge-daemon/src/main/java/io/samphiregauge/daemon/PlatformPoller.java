package io.samphiregauge.daemon;

import io.netty.channel.EventLoopGroup;
import io.samphiregauge.core.control.CoordinatorEvent;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.platform.VmEntry;
import io.samphiregauge.schema.platform.VmKind;
import io.samphiregauge.schema.platform.VmList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Polls the platform's list of VMs and its reclaim notices. */
final class PlatformPoller implements AutoCloseable {
  /** A leaving backend server must receive no new calls later than 3 s after the first signal. */
  private static final int POLL_INTERVAL_MS = 1_000;

  private static final int TIMEOUT_MS = 2_000;

  private final EventLoopGroup loops;
  private final OneShotHttpClient httpClient;
  private final Address platform;
  private final ControlLoop control;
  private volatile Set<String> leavingBackends = Set.of();
  private volatile Set<String> reclaimNoticeBackends = Set.of();
  private volatile boolean closed;

  PlatformPoller(
      EventLoopGroup loops, OneShotHttpClient httpClient, Address platform, ControlLoop control) {
    this.loops = loops;
    this.httpClient = httpClient;
    this.platform = platform;
    this.control = control;
  }

  /** Requests both lists now and then every second until this poller is closed. */
  void poll() {
    if (closed) {
      return;
    }
    httpClient
        .get(platform, "/v1/vms", TIMEOUT_MS)
        .thenAccept(
            body -> body.flatMap(PlatformPoller::decode).value().ifPresent(this::handleVmList));
    httpClient
        .get(platform, "/v1/reclaim-notices", TIMEOUT_MS)
        .thenAccept(
            body ->
                body.flatMap(PlatformPoller::decode)
                    .value()
                    .ifPresent(
                        list ->
                            reclaimNoticeBackends = namesOfKind(list.getVms(), VmKind.BACKEND)));
    loops.schedule(this::poll, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the backend servers that the platform will take away; may be called from any thread.
   */
  Set<String> leavingBackends() {
    Set<String> union = new HashSet<>(leavingBackends);
    union.addAll(reclaimNoticeBackends);
    return union;
  }

  @Override
  public void close() {
    closed = true;
  }

  private void handleVmList(VmList list) {
    List<VmEntry> leaving = list.getVms().stream().filter(VmEntry::isLeaving).toList();
    leavingBackends = namesOfKind(leaving, VmKind.BACKEND);
    List<String> addresses =
        list.getVms().stream()
            .filter(vm -> vm.getKind() == VmKind.ENTRY)
            .map(VmEntry::getAddress)
            .toList();
    control.post(
        new CoordinatorEvent.VmsListed(addresses, List.copyOf(namesOfKind(leaving, VmKind.ENTRY))));
  }

  private static Set<String> namesOfKind(List<VmEntry> vms, VmKind kind) {
    Set<String> names = new HashSet<>();
    vms.stream().filter(vm -> vm.getKind() == kind).forEach(vm -> names.add(vm.getName()));
    return names;
  }

  private static Result<VmList> decode(byte[] bytes) {
    return Codec.json().decode(bytes, VmList.class);
  }
}
