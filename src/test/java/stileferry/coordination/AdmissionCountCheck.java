package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import stileferry.cluster.Job;
import stileferry.overload.AdmissionCountShards;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;

/**
 * Checks the durable count of admissions: at any time the shards must add up to the number of jobs in the store, all
 * controllers must report the same totals for one revision, and no controller may report an older revision than before.
 */
final class AdmissionCountCheck {
    private static final long CHECK_INTERVAL_MS = 250;
    private static final long QUERY_INTERVAL_MS = 2000;

    final List<String> problems = new ArrayList<>();
    private final SimulatedCluster cluster;
    private final Map<Long, String> totalsByRevision = new TreeMap<>();
    private final Map<String, Long> lastRevisionByController = new TreeMap<>();
    private final Map<String, Long> admissionCounts = new TreeMap<>();
    private final Set<String> jobIds = new HashSet<>();
    int responseCount;

    AdmissionCountCheck(SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.after(CHECK_INTERVAL_MS, this::checkCount);
        cluster.after(QUERY_INTERVAL_MS, this::queryControllers);
    }

    private JsonNode readRows(String prefix, String from) {
        JsonNode[] response = new JsonNode[1];
        cluster.store.handleRequest(
                "GET",
                "/kv?starts=" + prefix + "&from=" + from + "&most=1000",
                null,
                (status, body) -> response[0] = body);
        return response[0];
    }

    private void addJobIds(String prefix) {
        String from = "";
        JsonNode page;
        do {
            page = readRows(prefix, from);
            for (JsonNode row : page.path("rows")) {
                from = row.path("path").asText();
                jobIds.add(from.substring(prefix.length()));
            }
        } while (page.path("more").asBoolean());
    }

    /** Returns the sum of the stored shards of the admission count. */
    long countedAdmissions() {
        long sum = 0;
        for (JsonNode row : readRows(AdmissionCountShards.KEY_PREFIX, "").path("rows")) {
            for (JsonNode team : row.path("v").path("counts")) {
                for (JsonNode cell : team) {
                    sum += cell.asLong();
                }
            }
        }
        return sum;
    }

    /** Returns the number of stored jobs, pending, running and completed. */
    long storedJobs() {
        jobIds.clear();
        addJobIds(Job.KEY_PREFIX);
        addJobIds(Job.completedKey(""));
        return jobIds.size();
    }

    private void checkCount() {
        cluster.after(CHECK_INTERVAL_MS, this::checkCount);
        long counted = countedAdmissions();
        long stored = storedJobs();
        if (counted != stored) {
            problems.add("at " + cluster.now + " ms " + counted + " admissions are counted, but " + stored
                    + " jobs are stored");
        }
    }

    private void queryControllers() {
        cluster.after(QUERY_INTERVAL_MS, this::queryControllers);
        for (ControllerNode node : cluster.controllers.values()) {
            if (node.up()) {
                node.environment.execute(() -> node.coordinator.handleAdministrationRequest(
                        "GET", "admission", new byte[0], response -> checkTotals(node.name(), response)));
            }
        }
    }

    private void checkTotals(String node, PeerMessage.Response response) {
        if (response.status() != 200) {
            return;
        }
        responseCount++;
        JsonNode totals = MessageCodec.decode(response.body()).path("totals");
        long revision = totals.path("revision").asLong();
        String before =
                totalsByRevision.putIfAbsent(revision, totals.path("admissions").toString());
        if (before != null && !before.equals(totals.path("admissions").toString())) {
            problems.add("different totals for revision " + revision + ": " + before + " and " + totals);
        }
        if (revision < lastRevisionByController.getOrDefault(node, 0L)) {
            problems.add(node + " reports revision " + revision + " after " + lastRevisionByController.get(node));
        }
        lastRevisionByController.put(node, revision);
    }

    /**
     * Counts the jobs whose users received an acceptance at {@code from} or later, by team and minute since then.
     *
     * @return the counts; the key is the team, a blank and the number of the minute
     */
    Map<String, Long> admissionsByTeamAndMinute(long from) {
        admissionCounts.clear();
        for (SimulatedUser user : cluster.users.values()) {
            if (user.accepted && user.acceptedAt >= from) {
                admissionCounts.merge(user.spec.team() + " " + (user.acceptedAt - from) / 60_000, 1L, Long::sum);
            }
        }
        return admissionCounts;
    }
}
