package io.samphiregauge.core.room;

/**
 * A caller's request as decisions under load see it. Times are monotonic, in milliseconds.
 *
 * @param number number that the entry assigns in the order of arrival
 * @param service name of the service that runs it
 * @param team name of the team that it runs for; empty if the route needs no key
 * @param rank urgency, from 0, the most urgent, to 9
 * @param promptTokens tokens of its prompt; 0 if it has none
 * @param outputTokens maximum tokens of its response; 0 if it has no prompt
 * @param arrivedAtMs time at which it arrived
 * @param objectiveAtMs time by which its response should have begun
 * @param givesUpAtMs time at which its caller gives up
 */
public record WorkRequest(
    long number,
    String service,
    String team,
    int rank,
    long promptTokens,
    long outputTokens,
    long arrivedAtMs,
    long objectiveAtMs,
    long givesUpAtMs) {}
