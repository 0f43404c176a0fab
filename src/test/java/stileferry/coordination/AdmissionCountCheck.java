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
 * Checks the count of admissions against the store and against what users heard: at every moment the shards add up to
 * the jobs that the store knows, and several controllers tell the same totals of one revision.
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
        JsonNode[] answer = new JsonNode[1];
        cluster.store.request(
                "GET", "/kv?starts=" + prefix + "&from=" + from + "&most=1000", null, (s, body) -> answer[0] = body);
        return answer[0];
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

    /** The count as the store holds it. */
    long countedAdmissions() {
        long sum = 0;
        for (JsonNode row : readRows(AdmissionCountShards.PREFIX, "").path("rows")) {
            for (JsonNode team : row.path("v").path("counts")) {
                for (JsonNode cell : team) {
                    sum += cell.asLong();
                }
            }
        }
        return sum;
    }

    /** The jobs that the store knows. */
    long storedJobs() {
        jobIds.clear();
        addJobIds(Job.PREFIX);
        addJobIds(Job.completedKey(""));
        return jobIds.size();
    }

    private void checkCount() {
        cluster.after(CHECK_INTERVAL_MS, this::checkCount);
        long counted = countedAdmissions();
        long known = storedJobs();
        if (counted != known) {
            problems.add("at " + cluster.now + " " + counted + " are counted, " + known + " are known");
        }
    }

    private void queryControllers() {
        cluster.after(QUERY_INTERVAL_MS, this::queryControllers);
        for (ControllerNode node : cluster.controllers.values()) {
            if (node.up()) {
                node.environment.execute(() -> node.coordinator.handleAdministrationRequest(
                        "GET", "admission", new byte[0], answer -> checkTotals(node.name(), answer)));
            }
        }
    }

    private void checkTotals(String node, PeerMessage.Response answer) {
        if (answer.status() != 200) {
            return;
        }
        responseCount++;
        JsonNode totals = MessageCodec.decode(answer.body()).path("totals");
        long revision = totals.path("revision").asLong();
        String before =
                totalsByRevision.putIfAbsent(revision, totals.path("admissions").toString());
        if (before != null && !before.equals(totals.path("admissions").toString())) {
            problems.add("revision " + revision + " has " + before + " and " + totals);
        }
        if (revision < lastRevisionByController.getOrDefault(node, 0L)) {
            problems.add(node + " tells of revision " + revision + " after " + lastRevisionByController.get(node));
        }
        lastRevisionByController.put(node, revision);
    }

    /** Counts what users heard, by team and minute. */
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
