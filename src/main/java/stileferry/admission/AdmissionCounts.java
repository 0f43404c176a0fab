package stileferry.admission;

import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/** Admissions by team and class; all figures only grow. */
public final class AdmissionCounts {
    /** What is counted together. */
    public record Cell(String team, String jobClass) implements Comparable<Cell> {
        /** Checks that nothing is missing. */
        public Cell {
            InvalidInputException.require(team != null, "team", "missing");
            InvalidInputException.require(jobClass != null, "jobClass", "missing");
        }

        /** The cell in which a flow's admissions are counted. */
        public static Cell of(Flow flow) {
            return new Cell(flow.team(), flow.jobClass());
        }

        @Override
        public int compareTo(Cell other) {
            int byTeam = team.compareTo(other.team);
            return byTeam != 0 ? byTeam : jobClass.compareTo(other.jobClass);
        }
    }

    private final SortedMap<Cell, Long> counts = new TreeMap<>();

    /** Adds admissions; the number is above 0. */
    public void add(Cell cell, long number) {
        InvalidInputException.require(number > 0, "number", "not above 0: " + number);
        counts.merge(cell, number, Math::addExact);
    }

    /** Adds all of another account. */
    public void addAll(AdmissionCounts other) {
        other.counts.forEach(this::add);
    }

    /** What was counted. */
    public SortedMap<Cell, Long> byCell() {
        return new TreeMap<>(counts);
    }

    /** Whether a cell has been counted here. */
    public boolean has(Cell cell) {
        return counts.containsKey(cell);
    }

    /** All admissions. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
