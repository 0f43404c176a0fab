package stileferry.requests;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;

/** What one controller has answered since its start, and how long that took. */
public final class RequestMetrics {
    private static final long MAX_LATENCY_MS = 60_000;

    private final Map<PeerMessage.RequestKind, Histogram> latencies = new EnumMap<>(PeerMessage.RequestKind.class);
    private final Map<String, Long> responseCounts = new TreeMap<>();

    /** Counts one answer. */
    public void record(PeerMessage.RequestKind kind, int status, long tookMs) {
        latencies
                .computeIfAbsent(kind, absent -> new Histogram(MAX_LATENCY_MS, 2))
                .recordValue(Math.min(MAX_LATENCY_MS, Math.max(0, tookMs)));
        responseCounts.merge(kind.wireName() + " " + status, 1L, Long::sum);
    }

    /** The view of the administration API. */
    public ObjectNode describe() {
        ObjectNode view = MessageCodec.map();
        ObjectNode counts = view.putObject("answers");
        responseCounts.forEach(counts::put);
        ObjectNode timesView = view.putObject("times_ms");
        latencies.forEach((kind, histogram) -> timesView
                .putObject(kind.wireName())
                .put("count", histogram.getTotalCount())
                .put("p50", histogram.getValueAtPercentile(50))
                .put("p90", histogram.getValueAtPercentile(90))
                .put("p99", histogram.getValueAtPercentile(99))
                .put("max", histogram.getMaxValue()));
        return view;
    }
}
