package io.samphiregauge.net;

import io.netty.channel.EventLoop;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Ends an outstanding call when the authority of its sender ends. */
final class AuthorityWatch {
  /**
   * Longest time between two checks. The timers of an event loop are late by the time for which its
   * VM was suspended, so a timer for the end of the authority would not suffice.
   */
  private static final long CHECK_MS = 100;

  private final EventLoop loop;
  private final CallAuthority authority;
  private final CompletableFuture<?> call;
  private final Runnable onEnded;

  private AuthorityWatch(
      EventLoop loop, CallAuthority authority, CompletableFuture<?> call, Runnable onEnded) {
    this.loop = loop;
    this.authority = authority;
    this.call = call;
    this.onEnded = onEnded;
  }

  static boolean hasEnded(CallAuthority authority) {
    OptionalLong remainingMs = authority.remainingMs();
    return remainingMs.isPresent() && remainingMs.getAsLong() <= 0;
  }

  /**
   * Watches the authority of a call until the call is done; must be called on its event loop.
   *
   * @param onEnded called at most once, on the event loop, if the authority ends before
   */
  static void start(
      EventLoop loop, CallAuthority authority, CompletableFuture<?> call, Runnable onEnded) {
    new AuthorityWatch(loop, authority, call, onEnded).scheduleCheck();
  }

  private void scheduleCheck() {
    OptionalLong remainingMs = authority.remainingMs();
    if (remainingMs.isPresent()) {
      loop.schedule(
          this::check, Math.min(remainingMs.getAsLong(), CHECK_MS), TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    if (call.isDone()) {
      return;
    }
    if (hasEnded(authority)) {
      onEnded.run();
    } else {
      scheduleCheck();
    }
  }
}
