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

/** Adapter that reads the platform's list of VMs and its reclaim notices. */
final class PlatformWatch implements AutoCloseable {
  /** A leaving backend server must get no new work 3 s after the first signal. */
  private static final int PERIOD_MS = 1_000;

  private static final int TIMEOUT_MS = 2_000;

  private final EventLoopGroup loops;
  private final OneShotHttpClient caller;
  private final Address platform;
  private final ControlLoop control;
  private volatile Set<String> leavingBackends = Set.of();
  private volatile Set<String> noticedBackends = Set.of();
  private volatile boolean closed;

  PlatformWatch(
      EventLoopGroup loops, OneShotHttpClient caller, Address platform, ControlLoop control) {
    this.loops = loops;
    this.caller = caller;
    this.platform = platform;
    this.control = control;
  }

  /** Reads both lists now and each second, until it is closed. */
  void watch() {
    if (closed) {
      return;
    }
    caller
        .get(platform, "/v1/vms", TIMEOUT_MS)
        .thenAccept(body -> body.flatMap(PlatformWatch::decode).value().ifPresent(this::listed));
    caller
        .get(platform, "/v1/reclaim-notices", TIMEOUT_MS)
        .thenAccept(
            body ->
                body.flatMap(PlatformWatch::decode)
                    .value()
                    .ifPresent(list -> noticedBackends = names(list.getVms(), VmKind.BACKEND)));
    loops.schedule(this::watch, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  /** Returns the backend servers that the platform takes away; safe for all threads. */
  Set<String> leavingBackends() {
    Set<String> all = new HashSet<>(leavingBackends);
    all.addAll(noticedBackends);
    return all;
  }

  @Override
  public void close() {
    closed = true;
  }

  private void listed(VmList list) {
    List<VmEntry> leaving = list.getVms().stream().filter(VmEntry::isLeaving).toList();
    leavingBackends = names(leaving, VmKind.BACKEND);
    List<String> addresses =
        list.getVms().stream()
            .filter(vm -> vm.getKind() == VmKind.ENTRY)
            .map(VmEntry::getAddress)
            .toList();
    control.post(
        new CoordinatorEvent.VmsListed(addresses, List.copyOf(names(leaving, VmKind.ENTRY))));
  }

  private static Set<String> names(List<VmEntry> vms, VmKind kind) {
    Set<String> names = new HashSet<>();
    vms.stream().filter(vm -> vm.getKind() == kind).forEach(vm -> names.add(vm.getName()));
    return names;
  }

  private static Result<VmList> decode(byte[] bytes) {
    return Codec.json().decode(bytes, VmList.class);
  }
}
