package stileferry.admission;

import java.util.Arrays;
import java.util.List;
import org.apache.datasketches.theta.CompactSketch;
import org.apache.datasketches.theta.SetOperation;
import org.apache.datasketches.theta.Sketch;
import org.apache.datasketches.theta.Union;
import org.apache.datasketches.theta.UpdateSketch;

/**
 * The demand of one flow over a sliding window, as a ring buffer of time slices. Each slice holds a theta sketch of the
 * distinct job ids that were submitted and one of those that were admitted. Memory use is bounded regardless of the
 * number of jobs. Sketches of other controllers are merged as a union, so their order and repetition do not matter.
 */
final class FlowDemandSketch {
    /** Nominal entries of a sketch: it is exact up to this many ids, with a relative standard error of 1/16 beyond. */
    static final int NOMINAL_ENTRIES = 256;

    private static final int BOUND_STANDARD_DEVIATIONS = 2;

    private final Slice[] slices = new Slice[AdmissionConfig.DEMAND_SLICES];

    /** One time slice; {@code number} counts slices on the clock. */
    private static final class Slice {
        private final long number;
        private final UpdateSketch requested = newSketch();
        private final UpdateSketch admitted = newSketch();

        /** The union of what other controllers reported, or null before the first report. */
        private Union merged;

        private int admissions;

        Slice(long number) {
            this.number = number;
        }

        private static UpdateSketch newSketch() {
            return UpdateSketch.builder().setNominalEntries(NOMINAL_ENTRIES).build();
        }

        void merge(Sketch sketch) {
            if (merged == null) {
                merged = newUnion();
            }
            merged.union(sketch);
        }

        void addTo(Union allRequested, Union allAdmitted) {
            allRequested.union(requested);
            allAdmitted.union(admitted);
            if (merged != null) {
                allRequested.union(merged.getResult());
            }
        }
    }

    private static Union newUnion() {
        return SetOperation.builder().setNominalEntries(NOMINAL_ENTRIES).buildUnion();
    }

    private int index(long number) {
        return (int) Math.floorMod(number, (long) slices.length);
    }

    /** Returns the slice of this number; a new one replaces the slice that has left the sliding window. */
    private Slice slice(long number) {
        int index = index(number);
        if (slices[index] == null || slices[index].number < number) {
            slices[index] = new Slice(number);
        }
        return slices[index];
    }

    /** Returns the slices of the sliding window that ends with the current slice. */
    private List<Slice> slicesInWindow(long current) {
        return Arrays.stream(slices)
                .filter(slice -> slice != null && slice.number > current - slices.length)
                .toList();
    }

    void recordRequest(String id, long current) {
        slice(current).requested.update(id);
    }

    void recordAdmission(String id, long current) {
        Slice slice = slice(current);
        slice.requested.update(id);
        slice.admitted.update(id);
        slice.admissions++;
    }

    /** Merges the sketch that another controller reported. */
    void merge(Sketch sketch, long current) {
        slice(current).merge(sketch);
    }

    /** Returns the sketch of the jobs submitted to this controller in the current slice, or null if there are none. */
    CompactSketch ownSketch(long current) {
        Slice slice = slices[index(current)];
        if (slice == null || slice.number != current || slice.requested.isEmpty()) {
            return null;
        }
        return slice.requested.rebuild().compact();
    }

    /** Estimates how many jobs were submitted and not admitted within the sliding window. */
    DemandEstimate waitingJobs(long current) {
        List<Slice> recent = slicesInWindow(current);
        if (recent.isEmpty()) {
            return DemandEstimate.NONE;
        }
        Union requested = newUnion();
        Union admitted = newUnion();
        recent.forEach(slice -> slice.addTo(requested, admitted));
        Sketch waiting = SetOperation.builder().buildANotB().aNotB(requested.getResult(), admitted.getResult());
        return new DemandEstimate(
                waiting.getEstimate(),
                waiting.getLowerBound(BOUND_STANDARD_DEVIATIONS),
                waiting.getUpperBound(BOUND_STANDARD_DEVIATIONS));
    }

    /** Returns the number of admissions within the sliding window. */
    int admissions(long current) {
        return slicesInWindow(current).stream()
                .mapToInt(slice -> slice.admissions)
                .sum();
    }

    /** Returns whether the sliding window is empty, so that the flow can be dropped. */
    boolean isIdle(long current) {
        return slicesInWindow(current).isEmpty();
    }
}
