import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts entries as processes, and writes what happens to the record of the case. */
final class Fleet implements AutoCloseable {
  static final int RULE_HELD = 0;
  static final int RULE_BROKEN = 1;
  static final int NOT_RUN = 2;

  private final Path folder;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Entry> entries = new ArrayList<>();

  /** One entry process with its addresses. */
  final class Entry {
    final String vm;
    final int callerPort;
    final int readyPort;
    final int directoryPort;
    final Path settings;
    Process process;

    private Entry(String vm, int callerPort, int readyPort, int directoryPort, Path settings) {
      this.vm = vm;
      this.callerPort = callerPort;
      this.readyPort = readyPort;
      this.directoryPort = directoryPort;
      this.settings = settings;
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(deployCommand());
      builder.environment().put("SAMPHIREGAUGE_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(vm + ".log").toFile()));
      process = builder.start();
      log("entry " + vm + " started, port " + callerPort);
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-s", name, Long.toString(process.pid())).start().waitFor();
      log("entry " + vm + ": SIG" + name);
    }

    List<String> logLines() throws IOException {
      return Files.readAllLines(folder.resolve(vm + ".log"));
    }
  }

  /** A case; returns whether the rule held. */
  interface Case {
    int run(Path recordFile) throws Exception;
  }

  /** Runs a case and exits with its result, or with {@link #NOT_RUN} if it fails to run. */
  static void exitWith(Case played, String recordFile) {
    int result = NOT_RUN;
    try {
      result = played.run(Path.of(recordFile));
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(result);
  }

  Fleet(Path recordFile) throws IOException {
    Runtime.getRuntime().addShutdownHook(new Thread(this::killEntries));
    folder = Files.createTempDirectory("samphiregauge-review");
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
  }

  static boolean troubled() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Milliseconds since the start of the case. */
  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String text) {
    String line = String.format(Locale.ROOT, "%7.3f %s", nowMs() / 1_000.0, text);
    record.println(line);
    record.flush();
    System.out.println(line);
  }

  /** Creates the settings of an entry from those of a small deployment; does not start it. */
  Entry addEntry(String vm, String zone, Store store, String cloudAddress) throws IOException {
    int[] ports = freePorts(5);
    Path settings = folder.resolve(vm + ".json");
    Files.writeString(
        settings,
        """
        {"vm":"%s","failureDomain":"%s","callerAddress":"127.0.0.1:%d",
         "readyAddress":"127.0.0.1:%d","directoryAddress":"127.0.0.1:%d",
         "metricsAddress":"127.0.0.1:%d","peerAddress":"127.0.0.1:%d","storeAddress":"%s",
         %s"directoryTtlS":1,"drainMs":2000,"revocationMs":5000,"shutdownGraceS":8,
         "leaseMs":3000,"retryRatio":0.2,"retrySlack":56,"retryWindowS":10,
         "usageWindowS":5,"usageLateS":10}
        """
            .formatted(
                vm,
                zone,
                ports[0],
                ports[1],
                ports[2],
                ports[3],
                ports[4],
                store.address(),
                cloudAddress.isEmpty() ? "" : "\"fleetAddress\":\"" + cloudAddress + "\","));
    Entry entry = new Entry(vm, ports[0], ports[1], ports[2], settings);
    entries.add(entry);
    return entry;
  }

  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** Returns the command of the deploy file's only role. */
  private static List<String> deployCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run line in the deploy file");
    }
    return List.of(run.group(1).split(" "));
  }

  /** Waits until an entry answers that it is ready. */
  boolean awaitReady(Entry entry, long timeoutMs) throws InterruptedException {
    long endMs = nowMs() + timeoutMs;
    while (nowMs() < endMs) {
      try (Wire wire = new Wire(entry.readyPort, 1_000)) {
        wire.send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        if (wire.readAnswer(false).status() == 200) {
          log("entry " + entry.vm + " is ready");
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(100);
    }
    return false;
  }

  private void killEntries() {
    for (Entry entry : entries) {
      if (entry.process != null) {
        entry.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    killEntries();
    for (Entry entry : entries) {
      try {
        if (entry.process != null) {
          entry.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    record.close();
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.err.println("the temporary folder stays: " + e);
    }
  }
}
