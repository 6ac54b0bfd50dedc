package io.samphiregauge.core.spill;

/**
 * What an entry knows of the servers of one service in one failure domain.
 *
 * @param domain the failure domain
 * @param servers number of servers that can be used; 0 if it has none
 * @param waitMs expected wait of a request before such a server starts it, in milliseconds
 * @param utilization part of the capacity that is in use, from 0
 * @param linkMs expected additional time on the way there, with the cost of failures, in
 *     milliseconds
 * @param ageMs age of the loads that other entries put on the servers, in milliseconds
 * @param reachable whether most servers of the domain respond to this entry
 * @param confirmed whether servers of the domain showed recently that they work
 */
public record DomainLoad(
    String domain,
    int servers,
    double waitMs,
    double utilization,
    double linkMs,
    long ageMs,
    boolean reachable,
    boolean confirmed) {}
