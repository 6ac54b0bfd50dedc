package io.samphiregauge.ctl;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.OneShotHttpClient;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/** Connections to the log and the entries, and progress output, for one run of a command. */
final class Session implements AutoCloseable {
  private static final String SCHEME = "http://";

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final OneShotHttpClient client = new OneShotHttpClient(eventLoops);
  private final Optional<String> logUrl;
  private final List<String> entries;
  private final Consumer<String> progress;

  /**
   * @param logUrl base URL of the log service, if the operator has named one
   * @param entries addresses of entries that the operator has named
   * @param progress receives lines to print while the command runs
   */
  Session(Optional<String> logUrl, List<String> entries, Consumer<String> progress) {
    this.logUrl = logUrl;
    this.entries = List.copyOf(entries);
    this.progress = progress;
  }

  /** Prints a line of progress before the command completes. */
  void printProgress(String line) {
    progress.accept(line);
  }

  /** Returns whether the operator has named entries. */
  boolean hasNamedEntries() {
    return !entries.isEmpty();
  }

  /** Returns the entries that the operator has named, or else those that have joined in the log. */
  List<EntryClient.Target> targets(FoldedState state) {
    return hasNamedEntries()
        ? entries.stream().map(EntryClient.Target::ofAddress).toList()
        : EntryClient.joinedEntries(state);
  }

  /** Returns whether the operator has named a log. */
  boolean hasLog() {
    return logUrl.isPresent();
  }

  /** Returns a client of the log, or a usage failure if the operator has not named one. */
  Result<BlockingLogClient> logClient() {
    return logUrl
        .<Result<String>>map(Result::success)
        .orElseGet(
            () ->
                Result.failed(
                    new CtlFailure.Usage(
                        "The log is not known: give --log or set %s."
                            .formatted(CommonOptions.LOG_VARIABLE))))
        .flatMap(
            url -> Address.parse(url.startsWith(SCHEME) ? url.substring(SCHEME.length()) : url))
        .map(address -> new BlockingLogClient(client, address));
  }

  EntryClient entryClient() {
    return new EntryClient(client);
  }

  /** Blocks the calling thread for about the given number of milliseconds. */
  void pause(long waitMs) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(waitMs));
  }

  @Override
  public void close() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
