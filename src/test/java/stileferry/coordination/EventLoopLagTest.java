package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.array;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A leader whose event loop is behind saves work that is not urgent. */
class EventLoopLagTest {
    /**
     * A leader that is behind leaves starts to the answers of machines' next heartbeats instead of sending a command
     * for each, which would put it further behind in a burst. Critical tasks still start at once.
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
            int before = cluster.directCommandCount;
            for (int i = 10; i < 16; i++) {
                cluster.submit(array(i, 4, 3));
            }
            cluster.runFor(120);
            commands[lagging] = cluster.directCommandCount - before;
            assertEquals(List.of(), cluster.violations);
            for (SimulatedUser user : cluster.users.values()) {
                assertEquals("done", user.endState, user.spec.id());
            }
        }
        assertTrue(commands[1] < commands[0] / 2, commands[1] + " commands instead of " + commands[0]);
    }
}
