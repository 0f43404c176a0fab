package stileferry.admission;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.apache.datasketches.theta.CompactSketch;

/**
 * The recent demand at one controller: by flow, a sketch of the distinct jobs that were submitted there. Merging
 * reports is idempotent and commutative, except that the time of the merge determines the time slice.
 */
public record DemandReport(SortedMap<Flow, CompactSketch> sketches) {
    /** Copies the map. */
    public DemandReport {
        sketches = Collections.unmodifiableSortedMap(new TreeMap<>(sketches));
    }
}
