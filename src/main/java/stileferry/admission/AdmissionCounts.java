package stileferry.admission;

import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/** Admissions by team and class; all figures only grow. */
public final class AdmissionCounts {
    /** What is counted together. */
    public record TeamClass(String team, String jobClass) implements Comparable<TeamClass> {
        /** Checks that nothing is missing. */
        public TeamClass {
            InvalidInputException.require(team != null, "team", "missing");
            InvalidInputException.require(jobClass != null, "jobClass", "missing");
        }

        /** The cell in which a flow's admissions are counted. */
        public static TeamClass of(Flow flow) {
            return new TeamClass(flow.team(), flow.jobClass());
        }

        @Override
        public int compareTo(TeamClass other) {
            int byTeam = team.compareTo(other.team);
            return byTeam != 0 ? byTeam : jobClass.compareTo(other.jobClass);
        }
    }

    private final SortedMap<TeamClass, Long> counts = new TreeMap<>();

    /** Adds admissions; the number is above 0. */
    public void add(TeamClass cell, long number) {
        InvalidInputException.require(number > 0, "number", "not above 0: " + number);
        counts.merge(cell, number, Math::addExact);
    }

    /** Adds all of another account. */
    public void addAll(AdmissionCounts other) {
        other.counts.forEach(this::add);
    }

    /** What was counted. */
    public SortedMap<TeamClass, Long> byTeamClass() {
        return new TreeMap<>(counts);
    }

    /** Whether a cell has been counted here. */
    public boolean contains(TeamClass cell) {
        return counts.containsKey(cell);
    }

    /** All admissions. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
