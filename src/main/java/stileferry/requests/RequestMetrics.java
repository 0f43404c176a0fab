package stileferry.requests;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
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
