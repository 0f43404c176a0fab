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
final class AdmissionHistory {
    private static final long LOOK_MS = 250;
    private static final long ASK_MS = 2000;

    final List<String> problems = new ArrayList<>();
    private final SimulatedCluster cluster;
    private final Map<Long, String> toldAt = new TreeMap<>();
    private final Map<String, Long> lastTold = new TreeMap<>();
    private final Map<String, Long> minutes = new TreeMap<>();
    private final Set<String> jobs = new HashSet<>();
    int answers;

    AdmissionHistory(SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.after(LOOK_MS, this::look);
        cluster.after(ASK_MS, this::ask);
    }

    private JsonNode rows(String prefix, String from) {
        JsonNode[] answer = new JsonNode[1];
        cluster.store.handleRequest(
                "GET", "/kv?starts=" + prefix + "&from=" + from + "&most=1000", null, (s, body) -> answer[0] = body);
        return answer[0];
    }

    private void addJobs(String prefix) {
        String from = "";
        JsonNode page;
        do {
            page = rows(prefix, from);
            for (JsonNode row : page.path("rows")) {
                from = row.path("path").asText();
                jobs.add(from.substring(prefix.length()));
            }
        } while (page.path("more").asBoolean());
    }

    /** The count as the store holds it. */
    long counted() {
        long sum = 0;
        for (JsonNode row : rows(AdmissionCountShards.KEY_PREFIX, "").path("rows")) {
            for (JsonNode team : row.path("v").path("counts")) {
                for (JsonNode cell : team) {
                    sum += cell.asLong();
                }
            }
        }
        return sum;
    }

    /** The jobs that the store knows. */
    long known() {
        jobs.clear();
        addJobs(Job.KEY_PREFIX);
        addJobs(Job.completedKey(""));
        return jobs.size();
    }

    private void look() {
        cluster.after(LOOK_MS, this::look);
        long counted = counted();
        long known = known();
        if (counted != known) {
            problems.add("at " + cluster.now + " " + counted + " are counted, " + known + " are known");
        }
    }

    private void ask() {
        cluster.after(ASK_MS, this::ask);
        for (ControllerNode node : cluster.controllers.values()) {
            if (node.up()) {
                node.environment.turn(() -> node.coordinator.handleAdministrationRequest(
                        "GET", "admission", new byte[0], answer -> told(node.name(), answer)));
            }
        }
    }

    private void told(String node, PeerMessage.Response answer) {
        if (answer.status() != 200) {
            return;
        }
        answers++;
        JsonNode totals = MessageCodec.decode(answer.body()).path("totals");
        long revision = totals.path("revision").asLong();
        String before = toldAt.putIfAbsent(revision, totals.path("admissions").toString());
        if (before != null && !before.equals(totals.path("admissions").toString())) {
            problems.add("revision " + revision + " has " + before + " and " + totals);
        }
        if (revision < lastTold.getOrDefault(node, 0L)) {
            problems.add(node + " tells of revision " + revision + " after " + lastTold.get(node));
        }
        lastTold.put(node, revision);
    }

    /** Counts what users heard, by team and minute. */
    Map<String, Long> admissionsByTeamAndMinute(long from) {
        minutes.clear();
        for (SimulatedUser user : cluster.users.values()) {
            if (user.accepted && user.acceptedAt >= from) {
                minutes.merge(user.spec.team() + " " + (user.acceptedAt - from) / 60_000, 1L, Long::sum);
            }
        }
        return minutes;
    }
}
