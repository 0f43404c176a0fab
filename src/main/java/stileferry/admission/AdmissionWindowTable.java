package stileferry.admission;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/**
 * The admission windows of all rate-limited flows, as computed by the leader of one term. Flows that are not in the
 * table are not limited.
 *
 * @param term the leader's term
 * @param sequence the sequence number of the table within the term, from 1
 * @param windows the admission windows by flow
 */
public record AdmissionWindowTable(long term, long sequence, SortedMap<Flow, AdmissionWindow> windows) {
    /** Copies the map and validates the numbers. */
    public AdmissionWindowTable {
        InvalidInputException.require(term > 0, "term", "must be above 0: " + term);
        InvalidInputException.require(sequence > 0, "sequence", "must be above 0: " + sequence);
        windows = Collections.unmodifiableSortedMap(new TreeMap<>(windows));
    }

    /**
     * Returns the seconds until a job is in its flow's admission window, or 0 if it is now or if the flow is not
     * limited.
     *
     * @param ageS seconds since the table was computed
     */
    public double waitS(Flow flow, String id, double ageS) {
        AdmissionWindow window = windows.get(flow);
        return window == null ? 0 : window.waitS(JobIdHash.ringPosition(id), ageS);
    }

    /** Returns whether this table is of a later term, or has a higher sequence number in the same term. */
    boolean isAfter(AdmissionWindowTable other) {
        return term != other.term ? term > other.term : sequence > other.sequence;
    }

    /**
     * Returns the ring positions of the windows' heads after this many seconds; the next leader continues from them.
     */
    Map<Flow, Double> positionsAfter(double seconds) {
        Map<Flow, Double> positions = new TreeMap<>();
        windows.forEach((flow, window) -> positions.put(flow, window.positionAfter(seconds)));
        return positions;
    }
}
