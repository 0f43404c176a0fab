package stileferry.admission;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/**
 * Whose turn it is, as the leader of one term says. Flows that are not named are open.
 *
 * @param term the leader's term
 * @param sequence the number of the table within the term, from 1
 * @param windows the flows that are closed for all whose turn it is not
 */
public record AdmissionWindowTable(long term, long sequence, SortedMap<Flow, AdmissionWindow> windows) {
    /** Copies the map and checks the numbers. */
    public AdmissionWindowTable {
        InvalidInputException.require(term > 0, "term", "not above 0: " + term);
        InvalidInputException.require(sequence > 0, "sequence", "not above 0: " + sequence);
        windows = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(windows));
    }

    /**
     * Seconds until a job's turn; 0: it is under way, or the flow is open.
     *
     * @param ageS seconds since the table was made
     */
    public double waitS(Flow flow, String id, double ageS) {
        AdmissionWindow turn = windows.get(flow);
        return turn == null ? 0 : turn.waitS(JobIdHash.ringPosition(id), ageS);
    }

    /** Whether this table is of a later term, or later in the same. */
    boolean isAfter(AdmissionWindowTable other) {
        return term != other.term ? term > other.term : sequence > other.sequence;
    }

    /** Where the pointers are after some seconds: whoever leads next goes on from there. */
    Map<Flow, Double> positionsAfter(double seconds) {
        Map<Flow, Double> positions = new TreeMap<>();
        windows.forEach((flow, turn) -> positions.put(flow, turn.positionAfter(seconds)));
        return positions;
    }
}
