package stileferry.heartbeat;

import java.util.ArrayDeque;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.protocol.Environment;

/** Announces a new leader's term to the machines that it has not heard from, a few at a time. */
final class TermAnnouncer {
    private static final long ANNOUNCE_INTERVAL_MS = 100;

    /** Announcements in each interval regardless of the size of the fleet. */
    private static final int MIN_ANNOUNCEMENTS = 10;

    /** Factor by which an overloaded leader sends fewer announcements, as most machines report by themselves. */
    private static final int OVERLOADED_DIVISOR = 5;

    private final ClusterState cluster;
    private final Environment environment;
    private final EventLoopLag eventLoopLag;
    private final CommandDispatcher dispatcher;
    private final long heartbeatIntervalMs;
    private final ArrayDeque<Machine> pending = new ArrayDeque<>();

    TermAnnouncer(
            ClusterState cluster, Environment environment, EventLoopLag eventLoopLag, CommandDispatcher dispatcher) {
        this.cluster = cluster;
        this.environment = environment;
        this.eventLoopLag = eventLoopLag;
        this.dispatcher = dispatcher;
        this.heartbeatIntervalMs = Math.round(cluster.settings().workers().heartbeatIntervalS() * 1000);
    }

    /** Starts announcing the term; machines that report in the meantime are skipped. */
    void start() {
        cluster.machines().values().forEach(machine -> {
            if (!machine.agent().heardThisTerm()) {
                pending.add(machine);
            }
        });
        announceNext();
    }

    private void announceNext() {
        int remaining = announcementsPerInterval();
        while (!dispatcher.closed() && remaining > 0 && !pending.isEmpty() && dispatcher.mayProbe()) {
            Machine machine = pending.poll();
            if (!machine.agent().heardThisTerm() && !machine.instance().terminating()) {
                remaining--;
                dispatcher.announceTermTo(machine);
            }
        }
        if (!dispatcher.closed() && !pending.isEmpty()) {
            environment.schedule(ANNOUNCE_INTERVAL_MS, this::announceNext);
        }
    }

    /**
     * Returns the number of announcements in one interval, by which the whole fleet learns of the term within two
     * heartbeat intervals; an overloaded leader sends fewer.
     */
    private int announcementsPerInterval() {
        int count = MIN_ANNOUNCEMENTS
                + (int) (cluster.machines().size() * ANNOUNCE_INTERVAL_MS / (2 * heartbeatIntervalMs));
        return eventLoopLag.overloaded() ? Math.max(1, count / OVERLOADED_DIVISOR) : count;
    }
}
