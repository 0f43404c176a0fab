package stileferry.heartbeat;

import java.util.ArrayDeque;
import stileferry.cluster.ClusterState;
import stileferry.cluster.Machine;
import stileferry.protocol.Environment;

/** Announces a new leader's term to the machines that it has not heard from, a few at a time. */
final class TermAnnouncer {
    private static final long ANNOUNCE_INTERVAL_MS = 100;

    /** Announcements in each interval whatever the size of the fleet. */
    private static final int MIN_ANNOUNCEMENTS = 10;

    /** An overloaded leader announces so many times less often: most machines report by themselves. */
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

    /** Begins to announce the term; machines that report meanwhile are left out. */
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

    /** So many that the whole fleet has heard the term after two heartbeat intervals. */
    private int announcementsPerInterval() {
        int count = MIN_ANNOUNCEMENTS
                + (int) (cluster.machines().size() * ANNOUNCE_INTERVAL_MS / (2 * heartbeatIntervalMs));
        return eventLoopLag.overloaded() ? Math.max(1, count / OVERLOADED_DIVISOR) : count;
    }
}
