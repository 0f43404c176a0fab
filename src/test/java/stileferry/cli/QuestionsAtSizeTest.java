package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stileferry.transport.StandInServer;

/**
 * Three real controllers, started as deployed and with a small share of a core each, serve 4,000 machines and the users
 * of all their jobs while leaders end one after the other.
 */
class QuestionsAtSizeTest {
    private static final int MACHINES = 4000;
    private static final int TASKS_PER_MACHINE = 16;
    private static final int VALUE_KB = 16;
    private static final int TRANSACTION_OPERATIONS = 12;
    private static final double PROCESSOR_SHARE = 0.07;
    private static final int LEADERS_KILLED = 2;
    private static final long RESTART_DELAY_MS = 3000;

    /** How long a question about an accepted job may stay unanswered once all faults are over. */
    private static final long MAX_UNANSWERED_MS = 75_000;

    @TempDir
    private Path dir;

    /** Guards against leaders that change one after the other because none holds its lease until it is ready. */
    @Test
    @Timeout(500)
    void everyAcceptedJobOfFourThousandMachinesIsAnsweredAboutAfterLeadersEndInSeries() throws Exception {
        int port = Ports.findFreeRange(7);
        try (StandInServer standIns = StandIns.start(port, dir, new StandInServer.Size(4, 6000, 32_000));
                ControllerProcesses controllers =
                        new ControllerProcesses(dir, port, PROCESSOR_SHARE, QuestionsAtSizeTest::atSize)) {
            standIns.setStoreLimits(TRANSACTION_OPERATIONS, VALUE_KB);
            List<String> jobs = new FullStore(standIns.address(), VALUE_KB).write(MACHINES, TASKS_PER_MACHINE);
            controllers.start();
            try (FleetTraffic traffic = new FleetTraffic(controllers.addresses(), MACHINES, TASKS_PER_MACHINE, jobs)) {
                for (int i = 0; i < LEADERS_KILLED; i++) {
                    assertTrue(traffic.awaitAnswer(MAX_UNANSWERED_MS), controllers::logs);
                    controllers.killAndRestartLeader(RESTART_DELAY_MS);
                }
                long faultsEndedAt = System.nanoTime();
                Thread.sleep(MAX_UNANSWERED_MS);
                List<String> unanswered = traffic.jobsUnansweredSince(faultsEndedAt);
                assertEquals(
                        List.of(),
                        unanswered,
                        () -> unanswered.size() + " of " + jobs.size() + " jobs; " + traffic.describe() + "\n"
                                + controllers.logs());
            }
            assertFalse(controllers.logs().contains("OutOfMemoryError"), controllers::logs);
        }
    }

    private static String atSize(String settings) {
        return settings.replace("\"value_kb\": 8, \"txn_ops\": 20", "\"value_kb\": 16, \"txn_ops\": 12")
                .replace("\"rps\": 500, \"write_rps\": 200", "\"rps\": 150, \"write_rps\": 30")
                .replace("\"max_sockets\": 1000", "\"cores\": 0.306, \"mem_mb\": 306, \"max_sockets\": 2740");
    }
}
