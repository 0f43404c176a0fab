package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stileferry.transport.ApiClient;
import stileferry.transport.StandInServer;

/** A real controller, started as deployed, takes over the state of 4,000 machines full of small tasks. */
class RecoveryAtScaleTest {
    private static final int MACHINES = 4000;
    private static final int TASKS_PER_MACHINE = 16;
    private static final int VALUE_KB = 16;
    private static final int TRANSACTION_OPERATIONS = 12;

    /** How long a question about an accepted job may stay unanswered once all faults are over. */
    private static final long MAX_UNANSWERED_MS = 75_000;

    private static final int HEARTBEAT_ROUNDS = 3;

    @TempDir
    private Path dir;

    /** Guards against a leader that runs out of memory while it recovers a full event log, and never answers. */
    @Test
    @Timeout(180)
    void leaderOfFourThousandMachinesAnswersAboutAcceptedJobsAfterFailover() throws Exception {
        int port = Ports.findFreeRange(7);
        try (StandInServer standIns = startStandIns(port);
                ControllerProcess controller = new ControllerProcess(settings(), dir.resolve("node-0.log"))) {
            List<String> jobs = new FullStore(standIns.address(), VALUE_KB).write(MACHINES, TASKS_PER_MACHINE);
            controller.start();
            assertEquals(200, firstAnswer(port, jobs.get(jobs.size() - 1)), controller.log());
        }
    }

    /** Guards against a leader whose memory does not suffice for the state and the heartbeats of all machines. */
    @Test
    @Timeout(300)
    void leaderOfFourThousandMachinesAnswersWhileAllOfThemReportAndAfterItsRestart() throws Exception {
        int port = Ports.findFreeRange(7);
        try (StandInServer standIns = startStandIns(port);
                ControllerProcess controller = new ControllerProcess(settings(), dir.resolve("node-0.log"))) {
            List<String> jobs = new FullStore(standIns.address(), VALUE_KB).write(MACHINES, TASKS_PER_MACHINE);
            HeartbeatLoad load = new HeartbeatLoad(address(port), MACHINES, TASKS_PER_MACHINE);
            for (int start = 0; start < 2; start++) {
                controller.start();
                assertEquals(200, firstAnswer(port, jobs.get(0)), controller.log());
                for (int round = 0; round < HEARTBEAT_ROUNDS; round++) {
                    int answered = load.sendRound();
                    assertTrue(answered > MACHINES / 2, answered + " heartbeats answered\n" + controller.log());
                    assertEquals(200, firstAnswer(port, jobs.get(round)), controller.log());
                }
                controller.kill();
            }
            assertFalse(controller.log().contains("OutOfMemoryError"), controller.log());
        }
    }

    private StandInServer startStandIns(int port) throws Exception {
        StandInServer standIns = StandIns.start(port, dir, new StandInServer.Size(4, 6000, 32_000));
        standIns.setStoreLimits(TRANSACTION_OPERATIONS, VALUE_KB);
        return standIns;
    }

    /** Writes the settings of a deployment with large records into the file of the first controller. */
    private Path settings() throws Exception {
        Path file = dir.resolve("node-0.json");
        String text = Files.readString(file)
                .replace("\"value_kb\": 8, \"txn_ops\": 20", "\"value_kb\": 16, \"txn_ops\": 12")
                .replace("\"max_sockets\": 1000", "\"cores\": 0.306, \"mem_mb\": 306, \"max_sockets\": 2740");
        Files.writeString(file, text);
        return file;
    }

    private static String address(int port) {
        return "127.0.0.1:" + (port + 1);
    }

    /** Asks about a job every second; returns the first status other than 503, or the last one in time. */
    private static int firstAnswer(int port, String job) throws Exception {
        try (ApiClient user = new ApiClient(List.of(address(port)))) {
            return user.sendWithRetries("GET", "/work/" + job, new byte[0], MAX_UNANSWERED_MS)
                    .status();
        }
    }
}
