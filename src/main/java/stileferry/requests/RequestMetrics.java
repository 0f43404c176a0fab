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
    private static final long LONGEST_MS = 60_000;

    private final Map<PeerMessage.RequestKind, Histogram> times = new EnumMap<>(PeerMessage.RequestKind.class);
    private final Map<String, Long> answers = new TreeMap<>();

    public void record(PeerMessage.RequestKind ask, int status, long tookMs) {
        times.computeIfAbsent(ask, a -> new Histogram(LONGEST_MS, 2))
                .recordValue(Math.min(LONGEST_MS, Math.max(0, tookMs)));
        answers.merge(ask.wireName() + " " + status, 1L, Long::sum);
    }

    public ObjectNode describe() {
        ObjectNode n = MessageCodec.map();
        ObjectNode counts = n.putObject("answers");
        answers.forEach(counts::put);
        ObjectNode list = n.putObject("times_ms");
        times.forEach((ask, histogram) -> list.putObject(ask.wireName())
                .put("count", histogram.getTotalCount())
                .put("p50", histogram.getValueAtPercentile(50))
                .put("p90", histogram.getValueAtPercentile(90))
                .put("p99", histogram.getValueAtPercentile(99))
                .put("max", histogram.getMaxValue()));
        return n;
    }
}
