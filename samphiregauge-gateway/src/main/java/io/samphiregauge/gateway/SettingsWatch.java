package io.samphiregauge.gateway;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.schema.gateway.EntrySettings;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Provides the current settings. They are reloaded on a signal and periodically, since the file may
 * change without a signal. If they cannot be read or are invalid, the previous ones stay in effect.
 */
public final class SettingsWatch implements Supplier<EntrySettings> {
  private static final Logger LOG = System.getLogger(SettingsWatch.class.getName());

  /** Interval between reloads; operators expect a change to take effect within seconds. */
  public static final long RELOAD_PERIOD_MS = 2_000;

  private final Supplier<Result<EntrySettings>> reader;
  private final AtomicReference<EntrySettings> settings;

  /**
   * Creates a watch with initial settings.
   *
   * @param initial settings at the start of the process
   * @param reader reads the settings file
   */
  public SettingsWatch(EntrySettings initial, Supplier<Result<EntrySettings>> reader) {
    this.reader = reader;
    this.settings = new AtomicReference<>(initial);
  }

  /** Returns the current settings. Thread-safe. */
  @Override
  public EntrySettings get() {
    return settings.get();
  }

  /** Reloads the settings. Changed addresses have no effect until the process is restarted. */
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
