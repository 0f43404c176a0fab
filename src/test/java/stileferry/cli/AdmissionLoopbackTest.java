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
 * Three real controllers and a burst from two teams during which the leader crashes: scaled down to what one machine
 * and a run of a few seconds can do.
 */
class AdmissionLoopbackTest {
    private static final int USERS_EACH_TEAM = 6;
    private static final int JOBS_EACH_USER = 20;
    private static final List<String> TEAMS = List.of("red", "blue");
    private static final long PATIENCE_MS = 60_000;

    @TempDir
    private Path dir;

    private final AtomicInteger numbers = new AtomicInteger(100_000);
    private final Set<String> accepted = ConcurrentHashMap.newKeySet();
    private final Set<String> submitted = ConcurrentHashMap.newKeySet();
    private final Set<String> admittedTeams = ConcurrentHashMap.newKeySet();

    private void submitAll(List<String> addresses, String team) {
        try (ApiClient client = new ApiClient(addresses)) {
            for (int i = 0; i < JOBS_EACH_USER; i++) {
                String id = "job-" + numbers.incrementAndGet();
                submitted.add(id);
                int status = client.sendWithRetries(
                                "POST",
                                "/work",
                                MessageCodec.encode(job(id, team).write()),
                                PATIENCE_MS)
                        .status();
                if (status == 201 || status == 200) {
                    accepted.add(id);
                    admittedTeams.add(team);
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JobSpec job(String id, String team) {
        return LoopbackCluster.spec(id, JobSpec.Kind.ARRAY, team, 1, 0.2);
    }

    private static JsonNode totals(LoopbackCluster cluster, int controller) throws InterruptedException {
        JsonNode view = null;
        for (int i = 0; i < 100 && view == null; i++) {
            view = cluster.admissions(controller);
            Thread.sleep(view == null ? 100 : 0);
        }
        return view == null ? MessageCodec.map() : view.path("totals");
    }

    @Test
    void admissionTotalsMatchTheKnownJobsAfterALeaderCrashInABurst() throws Exception {
        try (LoopbackCluster cluster = new LoopbackCluster(dir, new Features(false, true))) {
            int former = cluster.awaitLeader(20_000);
            assertTrue(former >= 0, "nobody leads");
            List<Thread> users = new ArrayList<>();
            for (int i = 0; i < USERS_EACH_TEAM; i++) {
                TEAMS.forEach(team -> users.add(new Thread(() -> submitAll(cluster.addresses(), team))));
            }
            users.forEach(Thread::start);
            while (accepted.size() < USERS_EACH_TEAM * JOBS_EACH_USER / 2) {
                Thread.sleep(20);
            }
            cluster.end(former);
            for (Thread user : users) {
                user.join(PATIENCE_MS * 2);
            }
            int one = (former + 1) % 3;
            int other = (former + 2) % 3;
            JsonNode first = totals(cluster, one);
            JsonNode second = totals(cluster, other);
            assertEquals(first.path("admissions"), second.path("admissions"), first + " " + second);
            assertTrue(first.path("complete").asBoolean(), first.toString());
            int known = 0;
            for (String id : submitted) {
                known += cluster.knows(one, id) ? 1 : 0;
            }
            assertEquals(known, first.path("admitted").asInt());
            assertTrue(known >= accepted.size(), accepted.size() + " accepted, " + known + " known");
            assertEquals(Set.copyOf(TEAMS), admittedTeams);
            assertEquals(List.of(), cluster.check());
        }
    }
}
