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

/** Fetches the status of entries over HTTP, from all of them concurrently. */
final class EntryClient {
  private static final int TIMEOUT_MS = 2_000;

  private final OneShotHttpClient client;

  EntryClient(OneShotHttpClient client) {
    this.client = client;
  }

  /**
   * An entry whose status is fetched.
   *
   * @param vm name of the VM, or "?" where only the address is known
   * @param failureDomain failure domain, or "?" where only the address is known
   * @param address HTTP address for callers
   */
  record Target(String vm, String failureDomain, String address) {
    static Target ofAddress(String address) {
      return new Target("?", "?", address);
    }
  }

  /** Returns the entries that have joined and whose process has not ended. */
  static List<Target> joinedEntries(FoldedState state) {
    return state.processes().values().stream()
        .filter(process -> !process.isEnded())
        .map(EntryClient::toTarget)
        .toList();
  }

  /**
   * Waits for the status of all targets; an entry without a valid response is listed with its
   * problem.
   */
  List<EntryState> fetch(List<Target> targets) {
    List<CompletableFuture<EntryState>> responses = targets.stream().map(this::fetch).toList();
    return responses.stream().map(CompletableFuture::join).toList();
  }

  private CompletableFuture<EntryState> fetch(Target target) {
    Result<Address> address = Address.parse(target.address());
    return address.fold(
        parsed ->
            client
                .get(parsed, "/v1/status", TIMEOUT_MS)
                .thenApply(body -> body.flatMap(EntryClient::decode))
                .thenApply(response -> toState(target, response)),
        failure -> CompletableFuture.completedFuture(withProblem(target, failure.message())));
  }

  private static Result<StatusAnswer> decode(byte[] body) {
    return Codec.json().decode(body, StatusAnswer.class);
  }

  private static EntryState toState(Target target, Result<StatusAnswer> response) {
    return response.fold(
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
        failure -> withProblem(target, failure.message()));
  }

  private static EntryState withProblem(Target target, String problem) {
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

  private static Target toTarget(ProcessState process) {
    return new Target(
        process.getIncarnation().getVm(),
        process.getJoined().getFailureDomain(),
        process.getJoined().getHttpAddress());
  }
}
