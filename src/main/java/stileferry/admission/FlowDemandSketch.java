package stileferry.admission;

import org.apache.datasketches.theta.AnotB;
import org.apache.datasketches.theta.CompactSketch;
import org.apache.datasketches.theta.SetOperation;
import org.apache.datasketches.theta.Sketch;
import org.apache.datasketches.theta.Union;
import org.apache.datasketches.theta.UpdateSketch;

/**
 * The demand of one flow over a sliding time, as a ring of slices. Each slice holds a theta sketch of the distinct ids
 * that asked and one of those that were admitted. Memory is fixed, however many ask; sketches of other controllers are
 * merged by a union, so order and repetition do not matter.
 */
final class FlowDemandSketch {
    /** Nominal entries of a sketch: a relative standard error of 1/16 beyond, exact counts below. */
    static final int NOMINAL_ENTRIES = 256;

    private final Slice[] slices = new Slice[AdmissionConfig.DEMAND_SLICES];

    /** What one stretch of time saw. */
    private static final class Slice {
        final long number;
        final UpdateSketch asked = newSketch();
        final UpdateSketch admitted = newSketch();

        /** What other controllers saw; null: nothing yet. */
        Union merged;

        int admissions;

        Slice(long number) {
            this.number = number;
        }

        private static UpdateSketch newSketch() {
            return UpdateSketch.builder().setNominalEntries(NOMINAL_ENTRIES).build();
        }
    }

    private Slice at(long slice) {
        int index = (int) Math.floorMod(slice, (long) slices.length);
        if (slices[index] == null || slices[index].number < slice) {
            slices[index] = new Slice(slice);
        }
        return slices[index];
    }

    private boolean counts(Slice slice, long now) {
        return slice != null && slice.number > now - slices.length;
    }

    void asked(String id, long slice) {
        at(slice).asked.update(id);
    }

    void admitted(String id, long slice) {
        Slice current = at(slice);
        current.asked.update(id);
        current.admitted.update(id);
        current.admissions++;
    }

    void merge(Sketch sketch, long slice) {
        Slice current = at(slice);
        if (current.merged == null) {
            current.merged =
                    SetOperation.builder().setNominalEntries(NOMINAL_ENTRIES).buildUnion();
        }
        current.merged.union(sketch);
    }

    /** What this controller saw in the slice; null: nothing. */
    CompactSketch seen(long slice) {
        Slice current = slices[(int) Math.floorMod(slice, (long) slices.length)];
        if (current == null || current.number != slice || current.asked.isEmpty()) {
            return null;
        }
        return current.asked.rebuild().compact();
    }

    /** Jobs that asked and were not admitted, over all slices up to this one. */
    DemandEstimate waiting(long slice) {
        Union asked = SetOperation.builder().setNominalEntries(NOMINAL_ENTRIES).buildUnion();
        Union admitted =
                SetOperation.builder().setNominalEntries(NOMINAL_ENTRIES).buildUnion();
        boolean any = false;
        for (Slice one : slices) {
            if (counts(one, slice)) {
                any = true;
                asked.union(one.asked);
                admitted.union(one.admitted);
                if (one.merged != null) {
                    asked.union(one.merged.getResult());
                }
            }
        }
        if (!any) {
            return DemandEstimate.NONE;
        }
        AnotB difference = SetOperation.builder().buildANotB();
        Sketch waiting = difference.aNotB(asked.getResult(), admitted.getResult());
        return new DemandEstimate(waiting.getEstimate(), waiting.getLowerBound(2), waiting.getUpperBound(2));
    }

    /** Admissions in the slices that are over or under way. */
    int admissions(long slice) {
        int sum = 0;
        for (Slice one : slices) {
            sum += counts(one, slice) ? one.admissions : 0;
        }
        return sum;
    }

    /** Whether nothing was seen for so long that the flow can be forgotten. */
    boolean idle(long slice) {
        for (Slice one : slices) {
            if (counts(one, slice)) {
                return false;
            }
        }
        return true;
    }
}
