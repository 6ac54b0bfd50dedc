import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry gets SIGTERM while clients still read answers that it has received whole. */
final class SlowReaderAtStop {
  private static final int READERS = 4;
  private static final int ANSWER_BYTES = 4_150_000;
  private static final int DEADLINE_MS = 8_000;
  /** Time for which a client reads slowly; then it reads as fast as the bytes come. */
  private static final int SLOW_MS = 5_000;

  private static final int SLOW_BYTES_PER_S = 20_000;
  private static final int TERM_AFTER_MS = 500;

  private SlowReaderAtStop() {}

  public static void main(String[] args) throws Exception {
    int code = 2;
    try {
      code = run(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE")));
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Path recordFile, boolean trouble) throws Exception {
    try (Site site = new Site(recordFile)) {
      Backend archive =
          new Backend(
              "i-archive",
              (request, body, out, socket) -> {
                byte[] answer = new byte[ANSWER_BYTES];
                Backend.write(out, Backend.sealedHead(request, 200, answer.length));
                out.write(answer);
                out.flush();
                site.note("server: ran %s", request.header("x-attempt-id").orElse("-"));
                return true;
              });
      site.configure(
          1,
          "{\"Name\":\"archive\"}",
          Site.route("read", "idempotent", DEADLINE_MS, 600, 1, "archive"));
      site.announce(archive, "archive", 6);
      Entry entry = site.start("edge-a-1");
      entry.awaitReady();
      Thread.sleep(1_000);
      AtomicInteger broken = new AtomicInteger();
      AtomicInteger served = new AtomicInteger();
      List<Thread> readers = new ArrayList<>();
      for (int i = 0; i < READERS; i++) {
        String id = "read-" + i;
        Thread reader = new Thread(() -> read(site, entry, id, broken, served));
        reader.start();
        readers.add(reader);
        Thread.sleep(50);
      }
      Thread.sleep(TERM_AFTER_MS);
      if (trouble) {
        site.note("SIGTERM to %s", entry.name());
        entry.terminate();
      }
      for (Thread reader : readers) {
        reader.join();
      }
      if (trouble) {
        site.note("%s has ended: %s", entry.name(), entry.awaitEnd(8_000));
      }
      site.note("served %d, ended without a complete answer %d", served.get(), broken.get());
      if (broken.get() > 0) {
        return 1;
      }
      return served.get() == READERS ? 0 : 2;
    }
  }

  private static void read(
      Site site, Entry entry, String id, AtomicInteger broken, AtomicInteger served) {
    try (Client client = new Client(entry.port(), 16 * 1024)) {
      client.setTimeoutMs(DEADLINE_MS);
      long sentMs = site.nowMs();
      site.note("client: sent %s", id);
      client.send(
          "GET", "/read/x", id, Site.KEY + "X-Deadline-Ms: " + DEADLINE_MS + "\r\n", new byte[0]);
      Client.Answer answer = client.readSlowly(SLOW_BYTES_PER_S, SLOW_MS);
      long tookMs = site.nowMs() - sentMs;
      site.note(
          "client: %s got status %d and %d of %d bytes after %d ms: %s",
          id, answer.status(), answer.body().length, ANSWER_BYTES, tookMs, answer.end());
      if (answer.complete() && answer.status() == 200) {
        served.incrementAndGet();
      } else if (answer.status() == 200 && tookMs < DEADLINE_MS) {
        broken.incrementAndGet();
      }
    } catch (Exception e) {
      site.note("client: %s: %s", id, e);
    }
  }
}
