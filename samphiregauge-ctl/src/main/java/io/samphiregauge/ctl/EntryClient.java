package io.samphiregauge.ctl;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.net.Codec;
import io.samphiregauge.net.OneShotHttpClient;
import io.samphiregauge.schema.ctl.EntryState;
import io.samphiregauge.schema.entry.StatusAnswer;
import io.samphiregauge.schema.record.ProcessState;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Asks entries for their state, all at the same time. */
final class EntryClient {
  private static final int TIMEOUT_MS = 2_000;

  private final OneShotHttpClient caller;

  EntryClient(OneShotHttpClient caller) {
    this.caller = caller;
  }

  /**
   * An entry to ask.
   *
   * @param vm VM, or "?" where only the address is known
   * @param failureDomain failure domain, or "?"
   * @param address address for callers
   */
  record Target(String vm, String failureDomain, String address) {
    static Target at(String address) {
      return new Target("?", "?", address);
    }
  }

  /** Returns the entries that have joined and not ended. */
  static List<Target> live(FoldedState state) {
    return state.processes().values().stream()
        .filter(process -> !process.isEnded())
        .map(EntryClient::target)
        .toList();
  }

  List<EntryState> ask(List<Target> targets) {
    List<CompletableFuture<EntryState>> answers = targets.stream().map(this::ask).toList();
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private CompletableFuture<EntryState> ask(Target target) {
    Result<Address> address = Address.parse(target.address());
    return address.fold(
        at ->
            caller
                .get(at, "/v1/status", TIMEOUT_MS)
                .thenApply(body -> body.flatMap(EntryClient::decode))
                .thenApply(answer -> toState(target, answer)),
        failure -> CompletableFuture.completedFuture(silent(target, failure.message())));
  }

  private static Result<StatusAnswer> decode(byte[] body) {
    return Codec.json().decode(body, StatusAnswer.class);
  }

  private static EntryState toState(Target target, Result<StatusAnswer> answer) {
    return answer.fold(
        status ->
            new EntryState(
                status.getVm(),
                status.getFailureDomain(),
                target.address(),
                status.isReady(),
                status.isFresh(),
                status.getNoteOffset(),
                status.getUpToOffset(),
                status.getRunningCalls()),
        failure -> silent(target, failure.message()));
  }

  private static EntryState silent(Target target, String problem) {
    return new EntryState(
        target.vm(),
        target.failureDomain(),
        target.address(),
        false,
        false,
        FoldedState.NO_OFFSET,
        FoldedState.NO_OFFSET,
        0,
        problem);
  }

  private static Target target(ProcessState process) {
    return new Target(
        process.getIncarnation().getVm(),
        process.getJoined().getFailureDomain(),
        process.getJoined().getHttpAddress());
  }
}
