package io.samphiregauge.gateway;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Keeps the newest settings. They are read again on a signal and from time to time, since the file
 * may change without one; settings that cannot be used leave the old ones in force.
 */
public final class SettingsWatch implements Supplier<EntrySettings> {
  private static final Logger LOG = System.getLogger(SettingsWatch.class.getName());

  /** Time between two reads of the file; operators expect a change to count within seconds. */
  public static final long RELOAD_PERIOD_MS = 2_000;

  private final Supplier<Result<EntrySettings>> reader;
  private final AtomicReference<EntrySettings> settings;

  /**
   * Starts with settings.
   *
   * @param initial the settings at the start of the process
   * @param reader reads the file again
   */
  public SettingsWatch(EntrySettings initial, Supplier<Result<EntrySettings>> reader) {
    this.reader = reader;
    this.settings = new AtomicReference<>(initial);
  }

  /** Returns the newest settings; safe for all threads. */
  @Override
  public EntrySettings get() {
    return settings.get();
  }

  /** Reads the settings again; addresses stay as they were at the start. */
  public void reload() {
    reader.get().fold(this::onLoaded, SettingsWatch::onFailure);
  }

  private boolean onLoaded(EntrySettings loaded) {
    EntrySettings previous = settings.getAndSet(loaded);
    if (!loaded.equals(previous)) {
      LOG.log(Level.INFO, "event=settings_reloaded from=" + previous + " to=" + loaded);
    }
    return true;
  }

  private static boolean onFailure(Failure failure) {
    LOG.log(
        Level.WARNING,
        "event=settings_unreadable cause=" + failure.type() + " " + failure.message());
    return false;
  }
}
