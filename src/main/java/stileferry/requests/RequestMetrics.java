package stileferry.requests;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;

/** Counts one controller's responses since its start and measures their latencies. */
public final class RequestMetrics {
    private static final long MAX_LATENCY_MS = 60_000;

    private final Map<PeerMessage.RequestKind, Histogram> latencies = new EnumMap<>(PeerMessage.RequestKind.class);
    private final Map<String, Long> responseCounts = new TreeMap<>();
    private final Map<UnavailableReason, Long> unavailableCounts = new EnumMap<>(UnavailableReason.class);
    private long healthChecksPassed;
    private long healthChecksFailed;
    private long unansweredAlarms;

    /** The counts as of the last call of {@link #takeGrowth}, by name. */
    private Map<String, Long> loggedCounts = Map.of();

    /** Records a health check and whether it passed. */
    public void recordHealthCheck(boolean passed) {
        if (passed) {
            healthChecksPassed++;
        } else {
            healthChecksFailed++;
        }
    }

    /** Records that questions have stayed unanswered for too long. */
    public void recordUnansweredAlarm() {
        unansweredAlarms++;
    }

    /** Returns what {@link #growth} returns, and begins to count from here. */
    public String takeGrowth() {
        String growth = growth();
        loggedCounts = counts();
        return growth;
    }

    /** Returns by how much each count has grown, as text for a log line; empty: by nothing. */
    public String growth() {
        StringJoiner grown = new StringJoiner(" ");
        counts().forEach((name, count) -> {
            long growth = count - loggedCounts.getOrDefault(name, 0L);
            if (growth > 0) {
                grown.add(name.replace(' ', '_') + "=" + growth);
            }
        });
        return grown.toString();
    }

    private Map<String, Long> counts() {
        Map<String, Long> counts = new TreeMap<>(responseCounts);
        counts.put("health_check passed", healthChecksPassed);
        counts.put("health_check failed", healthChecksFailed);
        unavailableCounts.forEach((reason, count) -> counts.put("unavailable " + reason.label(), count));
        return counts;
    }

    /** Records one response; latencies are clamped to at most {@link #MAX_LATENCY_MS}. */
    public void record(PeerMessage.RequestKind kind, int status, long latencyMs) {
        latencies
                .computeIfAbsent(kind, absent -> new Histogram(MAX_LATENCY_MS, 2))
                .recordValue(Math.min(MAX_LATENCY_MS, Math.max(0, latencyMs)));
        responseCounts.merge(kind.wireName() + " " + status, 1L, Long::sum);
    }

    /** Counts the reason and returns the response with which the request is to be repeated. */
    public PeerMessage.Response unavailable(UnavailableReason reason) {
        unavailableCounts.merge(reason, 1L, Long::sum);
        return Responses.unavailable();
    }

    /** Returns the metrics as a view of the administration API. */
    public ObjectNode describe() {
        ObjectNode view = MessageCodec.map();
        ObjectNode counts = view.putObject("answers");
        responseCounts.forEach(counts::put);
        ObjectNode reasons = view.putObject("unavailable");
        for (UnavailableReason reason : UnavailableReason.values()) {
            reasons.put(reason.label(), unavailableCounts.getOrDefault(reason, 0L));
        }
        view.put("unanswered_alarms", unansweredAlarms);
        view.putObject("health_checks").put("passed", healthChecksPassed).put("failed", healthChecksFailed);
        ObjectNode latenciesView = view.putObject("times_ms");
        latencies.forEach((kind, histogram) -> latenciesView
                .putObject(kind.wireName())
                .put("count", histogram.getTotalCount())
                .put("p50", histogram.getValueAtPercentile(50))
                .put("p90", histogram.getValueAtPercentile(90))
                .put("p99", histogram.getValueAtPercentile(99))
                .put("max", histogram.getMaxValue()));
        return view;
    }
}
