package io.samphiregauge.core.quota;

import java.util.List;

/**
 * What an entry needs of the quota of a team.
 *
 * @param team name of the team
 * @param costs cost of each waiting request, in the order of arrival
 * @param ahead credit wanted for requests that are still to come
 */
public record CreditNeed(String team, List<Long> costs, long ahead) {}
