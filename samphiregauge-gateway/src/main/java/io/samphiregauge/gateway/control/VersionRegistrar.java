package io.samphiregauge.gateway.control;

import io.samphiregauge.core.StorePosition;
import io.samphiregauge.core.backend.BackendServer;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.stream.ServiceVersion;
import io.samphiregauge.core.stream.VersionLedger;
import io.samphiregauge.gateway.port.AppendResult;
import io.samphiregauge.gateway.port.ReadResult;
import io.samphiregauge.gateway.port.SharedStore;
import io.samphiregauge.gateway.port.StoreRecord;
import io.samphiregauge.gateway.port.Topic;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.gateway.ListedVersion;
import io.samphiregauge.schema.gateway.SettledEra;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Lists the software versions of the announced servers in the store before requests are sent to
 * them, as {@link VersionLedger} decides. Runs on the control thread.
 */
final class VersionRegistrar {
  private static final Logger LOG = System.getLogger(VersionRegistrar.class.getName());

  private static final String SETTLED_KEY = "settled";
  private static final long RETRY_MS = 250;

  /** Time between two reads of the register while it may change without a change of the servers. */
  private static final long REFRESH_MS = 10_000;

  private final ControlThread control;
  private final SharedStore store;
  private final BooleanSupplier maintains;
  private final LongSupplier clock;
  private final Runnable onChange;
  private final VersionLedger ledger;
  private boolean registerRead;
  private boolean appendPending;
  private boolean refreshScheduled;

  /**
   * Creates a registrar that knows no servers.
   *
   * @param control the control thread
   * @param store the store
   * @param maintains returns whether this entry removes versions that have gone
   * @param clock provides monotonic time in milliseconds
   * @param onChange runs when the usable versions, or what the register says, may have changed
   */
  VersionRegistrar(
      ControlThread control,
      SharedStore store,
      BooleanSupplier maintains,
      LongSupplier clock,
      Runnable onChange) {
    this.control = control;
    this.store = store;
    this.maintains = maintains;
    this.clock = clock;
    this.onChange = onChange;
    this.ledger = new VersionLedger(clock.getAsLong());
  }

  /** Reads the register, so that listed versions can be used as soon as their servers are known. */
  void start() {
    readSnapshot(
        result -> {
          registerRead = true;
          result.value().ifPresent(this::onRefreshed);
          listMissing();
        });
  }

  /** Handles a change of the announced servers, which include those that drain. */
  void onServers(Collection<BackendServer> servers) {
    ledger.onServers(servers, clock.getAsLong());
    listMissing();
  }

  /** Handles the era of the store in any of its answers. */
  void onStoreEra(long era) {
    ledger.onEra(era, clock.getAsLong());
    listMissing();
  }

  /** Returns the servers to which requests may be sent. */
  List<BackendServer> usable(List<BackendServer> servers) {
    return servers.stream().filter(ledger::mayUse).toList();
  }

  /** Returns whether the origin of each stream of a service must be recorded. */
  boolean isMixed(String service) {
    return ledger.isMixed(service);
  }

  private void listMissing() {
    Set<ServiceVersion> missing = ledger.unlisted();
    if (!registerRead || appendPending || missing.isEmpty()) {
      return;
    }
    appendPending = true;
    List<StoreRecord> records = new ArrayList<>();
    missing.forEach(version -> records.add(listing(version)));
    OptionalLong expectedEndOffset = OptionalLong.empty();
    if (ledger.isUnwritten()) {
      records.add(settled(StorePosition.FIRST_ERA));
      expectedEndOffset = OptionalLong.of(0);
    }
    control.onResult(
        store.batchAppender().append(Topic.VERSIONS, records, expectedEndOffset),
        result -> onAppended(missing, result));
  }

  private void onAppended(Set<ServiceVersion> versions, Result<AppendResult> result) {
    appendPending = false;
    result.fold(
        appended -> {
          if (appended instanceof AppendResult.Appended accepted) {
            ledger.onListed(versions, accepted.position().era());
            versions.forEach(VersionRegistrar::logListed);
            onChange.run();
            listMissing();
            refresh();
          } else {
            // Another entry has written the first listings.
            start();
          }
          return true;
        },
        failure -> {
          LOG.log(Level.WARNING, "event=versions_not_listed cause={0}", failure.type());
          control.schedule(RETRY_MS, this::listMissing);
          return false;
        });
  }

  private static void logListed(ServiceVersion version) {
    LOG.log(
        Level.INFO,
        "event=version_listed service={0} version={1}",
        version.service(),
        version.version());
  }

  private void refresh() {
    readSnapshot(
        result -> {
          result.value().ifPresent(this::onRefreshed);
          if (!refreshScheduled && ledger.needsRefresh()) {
            refreshScheduled = true;
            control.schedule(REFRESH_MS, this::refreshAgain);
          }
        });
  }

  private void refreshAgain() {
    refreshScheduled = false;
    refresh();
  }

  private void onRefreshed(VersionLedger.Snapshot read) {
    ledger.onSnapshot(read, clock.getAsLong());
    onChange.run();
    if (maintains.getAsBoolean()) {
      ledger.prepareUpdate(clock.getAsLong()).ifPresent(this::write);
    }
  }

  /** Writes an update, unless another entry has changed the register since it was read. */
  private void write(VersionLedger.Update update) {
    List<StoreRecord> records = new ArrayList<>();
    update.settledEra().ifPresent(era -> records.add(settled(era)));
    update.retired().forEach(version -> records.add(removal(version)));
    LOG.log(
        Level.INFO,
        "event=versions_updated settled_era={0} retired={1}",
        update.settledEra().isPresent() ? Long.toString(update.settledEra().getAsLong()) : "-",
        update.retired());
    control.onResult(
        store
            .batchAppender()
            .append(Topic.VERSIONS, records, OptionalLong.of(update.expected().endOffset())),
        result -> refresh());
  }

  /**
   * Reads the register.
   *
   * @param handler receives the register as of a time after this call
   */
  void readSnapshot(Consumer<Result<VersionLedger.Snapshot>> handler) {
    control.onResult(
        store.snapshotReader().read(Topic.VERSIONS),
        result -> handler.accept(result.map(VersionRegistrar::decode)));
  }

  private static VersionLedger.Snapshot decode(ReadResult.Records read) {
    Set<ServiceVersion> versions = new HashSet<>();
    OptionalLong settledEra = OptionalLong.empty();
    for (StoreRecord record : read.records()) {
      if (record.key().equals(SETTLED_KEY)) {
        settledEra =
            RecordDecoder.decode(record, SettledEra.class, LOG, "settled_era_unreadable").stream()
                .mapToLong(SettledEra::getEra)
                .findFirst();
        continue;
      }
      RecordDecoder.decode(record, ListedVersion.class, LOG, "version_unreadable")
          .map(listed -> new ServiceVersion(listed.getService(), listed.getVersion()))
          .ifPresent(versions::add);
    }
    return new VersionLedger.Snapshot(versions, settledEra, read.position());
  }

  private static String keyOf(ServiceVersion version) {
    return version.service() + "/" + version.version();
  }

  private static StoreRecord listing(ServiceVersion version) {
    return new StoreRecord(
        keyOf(version),
        Optional.of(Codec.json().encode(new ListedVersion(version.service(), version.version()))));
  }

  private static StoreRecord removal(ServiceVersion version) {
    return new StoreRecord(keyOf(version), Optional.empty());
  }

  private static StoreRecord settled(long era) {
    return new StoreRecord(SETTLED_KEY, Optional.of(Codec.json().encode(new SettledEra(era))));
  }
}
