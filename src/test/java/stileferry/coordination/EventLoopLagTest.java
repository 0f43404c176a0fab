package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a leader whose event loop lags sends fewer direct commands. */
class EventLoopLagTest {
    /**
     * A lagging leader starts tasks in the responses to the machines' next heartbeats instead of sending a direct
     * command for each, which would increase the lag in a burst. Critical tasks still start immediately.
     */
    @Test
    void aLaggingLeaderSendsFewerDirectCommands() {
        int[] commands = new int[2];
        for (int lagging = 0; lagging < 2; lagging++) {
            SimulatedCluster cluster = SimulatedCluster.started(77);
            cluster.submit(array(1, 8, 1));
            cluster.runFor(25);
            if (lagging == 1) {
                cluster.controllers.keySet().forEach(name -> cluster.faults.eventLoopTaskMs.put(name, 70L));
            }
            cluster.runFor(5);
            int commandsBefore = cluster.directCommandCount;
            for (int i = 10; i < 16; i++) {
                cluster.submit(array(i, 4, 3));
            }
            cluster.runFor(120);
            commands[lagging] = cluster.directCommandCount - commandsBefore;
            assertEquals(List.of(), cluster.violations);
            for (SimulatedUser user : cluster.users.values()) {
                assertEquals("done", user.endState, user.spec.id());
            }
        }
        assertTrue(commands[1] < commands[0] / 2, commands[1] + " commands instead of " + commands[0]);
    }
}
