import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry as a process, started with the command of the deploy file. */
final class Entry {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

  private static final int READY_TIMEOUT_MS = 1_000;

  private final String name;
  private final Path folder;
  private final int[] ports;
  private final Process process;

  /** Starts an entry with the bounds of the small deployments. */
  Entry(String name, String zone, Path folder, Store store, Cloud cloud) throws IOException {
    this.name = name;
    this.folder = folder;
    this.ports = freePorts(5);
    String settings =
        """
        {"vm":"%s","failureDomain":"%s","callerAddress":"127.0.0.1:%d","readyAddress":"127.0.0.1:%d",
         "directoryAddress":"127.0.0.1:%d","metricsAddress":"127.0.0.1:%d",
         "peerAddress":"127.0.0.1:%d","storeAddress":"%s","fleetAddress":"%s","directoryTtlS":1,
         "drainMs":2000,"revocationMs":5000,"shutdownGraceS":8,"leaseMs":3000,"retryRatio":0.2,
         "retrySlack":54,"retryWindowS":10,"usageWindowS":5,"usageLateS":10,
         "domainGigabyteCostS":2500,"serviceRoom":true,"sharedSpeeds":true}
        """
            .formatted(
                name, zone, ports[0], ports[1], ports[2], ports[3], ports[4], store.address(),
                cloud.address());
    Path file = folder.resolve(name + ".json");
    Files.writeString(file, settings);
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run command");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.environment().put("SAMPHIREGAUGE_CONFIG", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(new File(folder.toFile(), name + ".log"));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      ports[i] = sockets.get(i).getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** Waits until the entry answers that it is ready. */
  void awaitReady() throws Exception {
    for (int i = 0; i < 200; i++) {
      if (isReady()) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException(name + " is not ready");
  }

  boolean isReady() {
    try (Client client = new Client(ports[1])) {
      client.setTimeoutMs(READY_TIMEOUT_MS);
      return client.send("GET", "/api/ready", "", "", new byte[0]).readAll().status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  int port() {
    return ports[0];
  }

  String name() {
    return name;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  boolean awaitEnd(long ms) throws InterruptedException {
    return process.waitFor(ms, TimeUnit.MILLISECONDS);
  }

  void kill() {
    process.destroyForcibly();
  }

  /** Returns the lines of the log that contain a text. */
  List<String> logLines(String text) throws IOException {
    return Files.readAllLines(folder.resolve(name + ".log")).stream()
        .filter(line -> line.contains(text))
        .toList();
  }
}
