package io.samphiregauge.standins;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.net.NetFailure;
import io.samphiregauge.schema.standin.ServiceAnswer;
import io.samphiregauge.schema.standin.ServiceFaults;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a service stand-in that does not count a repeated run of a non-idempotent call.
 */
class ServiceStandinTest {
  private final NioEventLoopGroup loops = new NioEventLoopGroup(2);
  private final TestHttpClient http = new TestHttpClient(loops);
  private final ServiceStandin service =
      ServiceStandin.start(loops, TestHttpClient.ANY_PORT, "booking");

  @AfterEach
  void stop() {
    service.close();
    loops.shutdownGracefully();
  }

  @Test
  void countsRunsPerTicket() throws Exception {
    call("ticket-1");
    call("ticket-1");
    call("ticket-2");
    assertThat(service.runs("ticket-1")).isEqualTo(2);
    assertThat(service.runs("ticket-2")).isEqualTo(1);
  }

  @Test
  void distinguishesCrashBeforeRunFromCrashAfterRun() {
    service.setFaults(new ServiceFaults(0, 1, 1));
    assertThat(postWithoutResponse()).containsInstanceOf(NetFailure.NoAnswer.class);
    assertThat(service.runs("")).isZero();
    assertThat(postWithoutResponse()).containsInstanceOf(NetFailure.NoAnswer.class);
    assertThat(service.runs("")).isEqualTo(1);
    assertThat(service.record().getCalls()).isEqualTo(2);
  }

  private Optional<Failure> postWithoutResponse() {
    return http.post(service.address(), "/book", "x", ServiceAnswer.class).failure();
  }

  private void call(String ticket) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + service.address() + "/book"))
            .header(ServiceStandin.TICKET_HEADER, ticket)
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }
}
