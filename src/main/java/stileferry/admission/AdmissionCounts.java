package stileferry.admission;

import java.util.Comparator;
import java.util.SortedMap;
import java.util.TreeMap;
import stileferry.validation.InvalidInputException;

/** Counters of admissions by team and job class; they never decrease. */
public final class AdmissionCounts {
    /** The key of a counter: a team and one of its job classes. */
    public record TeamClass(String team, String jobClass) implements Comparable<TeamClass> {
        private static final Comparator<TeamClass> ORDER =
                Comparator.comparing(TeamClass::team).thenComparing(TeamClass::jobClass);

        /** Rejects null values. */
        public TeamClass {
            InvalidInputException.require(team != null, "team", "missing");
            InvalidInputException.require(jobClass != null, "jobClass", "missing");
        }

        /** Returns the key of the counter for a flow's admissions. */
        public static TeamClass of(Flow flow) {
            return new TeamClass(flow.team(), flow.jobClass());
        }

        @Override
        public int compareTo(TeamClass other) {
            return ORDER.compare(this, other);
        }
    }

    private final SortedMap<TeamClass, Long> counts = new TreeMap<>();

    /**
     * Adds admissions to a counter.
     *
     * @param number the number of admissions, greater than 0
     */
    public void add(TeamClass teamClass, long number) {
        InvalidInputException.require(number > 0, "number", "must be above 0: " + number);
        counts.merge(teamClass, number, Math::addExact);
    }

    /** Adds all counters of another object. */
    public void addAll(AdmissionCounts other) {
        other.counts.forEach(this::add);
    }

    /** Returns a copy of the counters. */
    public SortedMap<TeamClass, Long> byTeamClass() {
        return new TreeMap<>(counts);
    }

    /** Returns whether there is a counter for a team and class. */
    public boolean contains(TeamClass teamClass) {
        return counts.containsKey(teamClass);
    }

    /** Returns the sum of all counters. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
