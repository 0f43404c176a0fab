package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stileferry.heartbeat.EventLoopLag;

/** Passes of a leader that is late leave time for lease renewals. */
class PassPauseTest {
    private static final long PASS_MS = 500;
    private static final long PAUSE_MS = 5 * PASS_MS;
    private static final double HEARTBEAT_INTERVAL_S = 4;

    private final SimulatedCluster cluster = SimulatedCluster.started(1);
    private final SimulatedEnvironment environment = cluster.leader().environment;
    private final EventLoopLag lag = new EventLoopLag(environment, HEARTBEAT_INTERVAL_S);
    private final PassPause pause = new PassPause(lag);

    /** Lets the event loop be late by this time, and a pass end right after it. */
    private long passEndsAfterLateness(long lateMs) {
        lag.start();
        cluster.runFor(1);
        if (lateMs > 0) {
            environment.pause(lateMs);
        }
        cluster.runFor(2);
        pause.passEnded(environment.now(), PASS_MS, false);
        return environment.now();
    }

    /** Guards against regular passes, each of them slow, that take most of the time of a leader of a large fleet. */
    @Test
    void aRegularPassOfAnOverloadedLeaderWaitsForThePause() {
        long now = passEndsAfterLateness(1900);
        assertTrue(lag.overloaded());
        assertTrue(pause.holdsRegularPass(now + PAUSE_MS - 1, false));
        assertFalse(pause.holdsRegularPass(now + PAUSE_MS, false));
    }

    @Test
    void aRegularPassOfALeaderInTimeWaitsForNothing() {
        long now = passEndsAfterLateness(0);
        assertFalse(pause.holdsRegularPass(now + 1, false));
        assertFalse(pause.holdsRegularPass(now + 1, true));
        assertEquals(PAUSE_MS, pause.lengthMs());
    }

    @Test
    void aRegularPassOfASaturatedLeaderWaitsOnlyIfAsked() {
        long now = passEndsAfterLateness(700);
        assertTrue(lag.saturated() && !lag.overloaded());
        assertFalse(pause.holdsRegularPass(now + 1, false));
        assertTrue(pause.holdsRegularPass(now + 1, true));
    }
}
