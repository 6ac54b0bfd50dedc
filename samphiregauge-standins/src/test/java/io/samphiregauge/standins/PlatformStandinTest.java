package io.samphiregauge.standins;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import io.samphiregauge.schema.order.EngineRole;
import io.samphiregauge.schema.order.StartBackends;
import io.samphiregauge.schema.platform.OrderAnswer;
import io.samphiregauge.schema.platform.OrderRequest;
import io.samphiregauge.schema.platform.OrderStatus;
import io.samphiregauge.schema.platform.ReportStatus;
import io.samphiregauge.schema.platform.UsageReport;
import io.samphiregauge.schema.platform.UsageReportAnswer;
import io.samphiregauge.schema.platform.VmEntry;
import io.samphiregauge.schema.platform.VmList;
import io.samphiregauge.schema.record.UsageFigure;
import io.samphiregauge.schema.standin.PlatformFaults;
import io.samphiregauge.schema.standin.Reclaim;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a platform stand-in that hides a repeated order or a changed usage report. */
class PlatformStandinTest {
  private final NioEventLoopGroup loops = new NioEventLoopGroup(2);
  private final TestHttpClient http = new TestHttpClient(loops);
  private final PlatformStandin platform =
      PlatformStandin.start(
          loops, TestHttpClient.ANY_PORT, (order, name) -> Optional.of(backend(order, name)));

  @AfterEach
  void stop() {
    platform.close();
    loops.shutdownGracefully();
  }

  @Test
  void startsBackendsOnceForRepeatedOrder() {
    OrderAnswer first = order(7, false);
    OrderAnswer second = order(7, false);
    assertThat(first.getStatus()).isEqualTo(OrderStatus.APPLIED);
    assertThat(second.getStatus()).isEqualTo(OrderStatus.REPEATED);
    assertThat(second.getBackends()).isEqualTo(first.getBackends()).hasSize(2);
    assertThat(platform.record().getOrders()).hasSize(2);
  }

  @Test
  void refusesReclaimableBackendsWhenFaultIsSet() {
    platform.setFaults(new PlatformFaults(true, 0, 0, 1L));
    assertThat(order(7, true).getStatus()).isEqualTo(OrderStatus.UNAVAILABLE);
    assertThat(order(8, false).getStatus()).isEqualTo(OrderStatus.APPLIED);
  }

  @Test
  void distinguishesRepeatedReportFromConflictingReport() {
    assertThat(report(10)).isEqualTo(ReportStatus.ACCEPTED);
    assertThat(report(10)).isEqualTo(ReportStatus.REPEATED);
    assertThat(report(11)).isEqualTo(ReportStatus.CONFLICT);
  }

  @Test
  void announcesReclaimImmediatelyDespiteListLag() {
    order(7, true);
    platform.setFaults(new PlatformFaults(false, 0, 3_600_000, 1L));
    platform.reclaim(new Reclaim("a", 3_600_000L));
    assertThat(list("/v1/reclaim-notices")).hasSize(2).allMatch(VmEntry::isLeaving);
    assertThat(list("/v1/vms")).isEmpty();
  }

  private OrderAnswer order(long token, boolean reclaimable) {
    var order = new StartBackends("a", 2, reclaimable, EngineRole.MIXED);
    return http.post(
            platform.address(),
            "/v1/backend-orders",
            new OrderRequest(token, order),
            OrderAnswer.class)
        .value()
        .orElseThrow();
  }

  private ReportStatus report(long requests) {
    var figure = new UsageFigure("t1", "m1", requests, 0L, 0L, 0L);
    var report = new UsageReport(3L, "luzon", 1L, List.of(figure));
    return http.post(platform.address(), "/v1/usage-reports", report, UsageReportAnswer.class)
        .value()
        .orElseThrow()
        .getStatus();
  }

  private List<VmEntry> list(String path) {
    return http.get(platform.address(), path, VmList.class).value().orElseThrow().getVms();
  }

  private static Backend backend(StartBackends order, String name) {
    return new Backend(
        name,
        BackendKind.ENGINE,
        "127.0.0.1:1",
        order.getFailureDomain(),
        List.of(),
        order.isReclaimable(),
        true,
        1_000);
  }
}
