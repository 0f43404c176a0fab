package stileferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stileferry.protocol.Features;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.transport.ApiClient;

/**
 * Fair admission with three real controllers: two teams submit a burst of jobs, during which the leader crashes. Scaled
 * down to what one machine can run in a few seconds.
 */
class AdmissionLoopbackTest {
    private static final int USERS_PER_TEAM = 6;
    private static final int JOBS_PER_USER = 20;
    private static final List<String> TEAMS = List.of("red", "blue");
    private static final long REQUEST_TIMEOUT_MS = 60_000;

    @TempDir
    private Path dir;

    private final AtomicInteger lastJobNumber = new AtomicInteger(100_000);
    private final Set<String> acceptedIds = ConcurrentHashMap.newKeySet();
    private final Set<String> submittedIds = ConcurrentHashMap.newKeySet();
    private final Set<String> admittedTeams = ConcurrentHashMap.newKeySet();

    private void submitAll(List<String> addresses, String team) {
        try (ApiClient client = new ApiClient(addresses)) {
            for (int i = 0; i < JOBS_PER_USER; i++) {
                String id = "job-" + lastJobNumber.incrementAndGet();
                submittedIds.add(id);
                int status = client.sendWithRetries(
                                "POST",
                                "/work",
                                MessageCodec.encode(job(id, team).write()),
                                REQUEST_TIMEOUT_MS)
                        .status();
                if (status == 201 || status == 200) {
                    acceptedIds.add(id);
                    admittedTeams.add(team);
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JobSpec job(String id, String team) {
        return LoopbackCluster.jobSpec(id, JobSpec.Kind.ARRAY, team, 1, 0.2);
    }

    private static JsonNode admissionTotals(LoopbackCluster cluster, int controller) throws InterruptedException {
        JsonNode view = null;
        for (int i = 0; i < 100 && view == null; i++) {
            view = cluster.admissions(controller);
            Thread.sleep(view == null ? 100 : 0);
        }
        return view == null ? MessageCodec.map() : view.path("totals");
    }

    @Test
    void admissionTotalsMatchKnownJobsAfterLeaderCrashDuringBurst() throws Exception {
        try (LoopbackCluster cluster = new LoopbackCluster(dir, new Features(false, true))) {
            int crashedLeader = cluster.awaitLeader(20_000);
            assertTrue(crashedLeader >= 0, "no leader was elected");
            List<Thread> users = new ArrayList<>();
            for (int i = 0; i < USERS_PER_TEAM; i++) {
                TEAMS.forEach(team -> users.add(new Thread(() -> submitAll(cluster.addresses(), team))));
            }
            users.forEach(Thread::start);
            while (acceptedIds.size() < USERS_PER_TEAM * JOBS_PER_USER / 2) {
                Thread.sleep(20);
            }
            cluster.stop(crashedLeader);
            for (Thread user : users) {
                user.join(REQUEST_TIMEOUT_MS * 2);
            }
            int oneSurvivor = (crashedLeader + 1) % 3;
            int otherSurvivor = (crashedLeader + 2) % 3;
            JsonNode first = admissionTotals(cluster, oneSurvivor);
            JsonNode second = admissionTotals(cluster, otherSurvivor);
            assertEquals(first.path("admissions"), second.path("admissions"), first + " " + second);
            assertTrue(first.path("complete").asBoolean(), first.toString());
            int knownJobs = 0;
            for (String id : submittedIds) {
                knownJobs += cluster.knows(oneSurvivor, id) ? 1 : 0;
            }
            assertEquals(knownJobs, first.path("admitted").asInt());
            assertTrue(
                    knownJobs >= acceptedIds.size(),
                    acceptedIds.size() + " jobs accepted, but only " + knownJobs + " known");
            assertEquals(Set.copyOf(TEAMS), admittedTeams);
            assertEquals(List.of(), cluster.findViolations());
        }
    }
}
