import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: a store, the platform's interface for duties, servers and entries. */
final class Site implements AutoCloseable {
  static final String KEY = "Authorization: Bearer key1\r\n";

  final Store store = new Store();
  final Cloud cloud = new Cloud();
  private final Path folder;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Entry> entries = new ArrayList<>();

  Site(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("review");
    record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8), true);
  }

  /** Writes a line to the record, with the time since the start. */
  synchronized void note(String format, Object... values) {
    String line =
        "%7.3f %s".formatted((System.nanoTime() - startNanos) / 1e9, format.formatted(values));
    record.println(line);
  }

  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a configuration with one tenant. */
  void configure(int version, String services, String... routes) {
    store.put(
        "keyed.op",
        "config",
        """
        {"Version":%d,"Routes":[%s],"Services":[%s],
         "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
         "Tenants":[{"Name":"tenant1","ApiKeys":["key1"],"Priority":1}]}"""
            .formatted(version, String.join(",", routes), services));
  }

  static String route(
      String name, String kind, int timeoutMs, int targetMs, int attempts, String service) {
    return """
        {"Name":"%s","Hostname":"site.example","PathPrefix":"/%s/","Kind":"%s","TimeoutMs":%d,
         "TargetLatencyMs":%d,"Priority":1,"Service":"%s","MaxAttempts":%d,"Public":false}"""
        .formatted(name, name, kind, timeoutMs, targetMs, service, attempts);
  }

  void announce(Backend server, String service, int slots) {
    store.put(
        "keyed.servers",
        server.id(),
        server.announcement(service, "zone-a", slots, System.currentTimeMillis()));
  }

  Entry start(String name) throws IOException {
    Entry entry = new Entry(name, "zone-a", folder, store, cloud);
    entries.add(entry);
    return entry;
  }

  @Override
  public void close() throws IOException {
    for (Entry entry : entries) {
      entry.kill();
    }
    for (Entry entry : entries) {
      for (String line : entry.logLines("level=ERROR")) {
        note("log of %s: %s", entry.name(), line);
      }
    }
    record.close();
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }
}
