package stileferry.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import stileferry.standin.LinkFaults.Effect;

/**
 * One fault of a soak run.
 *
 * @param controller the controller concerned, from 0; {@link #LEADER}: the one that leads when the fault begins
 * @param effect what happens to messages, if the fault concerns a link
 */
record SoakFault(Kind kind, long startMs, long durationMs, int controller, Effect effect) {
    /** Stands for the controller that leads when the fault begins. */
    static final int LEADER = -1;

    private static final int CONTROLLERS = 3;
    private static final int MIN_FAULTS = 4;
    private static final int MAX_FAULTS = 9;
    private static final long MIN_DURATION_MS = 500;
    private static final long MAX_DURATION_MS = 14_000;
    private static final long INSTANT_RESTART_MS = 300;
    private static final int INSTANT_RESTART_ONE_IN = 3;
    private static final int LEADER_CONCERNED_ONE_IN = 2;
    private static final int OVERLAPPING_FAULTS = 2;

    private static final List<Effect> LINK_EFFECTS =
            List.of(Effect.REFUSED, Effect.REQUEST_LOST, Effect.ANSWER_LOST, Effect.SLOW, Effect.LATE);

    /** What fails. The duration of a kill is the time until the process is started again. */
    enum Kind {
        KILL,
        KILL_ALL,
        /** The leader is killed, and the next one, and the next one. */
        KILL_LEADERS_IN_SERIES,
        PAUSE,
        CUT_FROM_STORE,
        CUT_FROM_PEERS,
        CUT_FROM_STORE_AND_PEERS,
        CUT_ALL_PEERS,
        CUT_FROM_WORKERS,
        STORE_OUTAGE,
        LATE_TRANSACTIONS,
        LATE_HEARTBEATS,
        LATE_COMMANDS,
        REPEATED_COMMANDS,
        REPEATED_TRANSACTIONS,
        /** Responses and commands to half of the machines are lost; their heartbeats arrive. */
        DEAF_MACHINES,
        /** Half of the machines reach no controller; commands reach them. */
        MUTE_MACHINES,
        HANGING_MACHINES,
        RECLAIMED_MACHINES
    }

    long endMs() {
        return startMs + durationMs;
    }

    /** Returns the faults of a seed, in the order in which they begin; all of them end within the given time. */
    static List<SoakFault> schedule(long seed, long lengthMs) {
        SplittableRandom random = new SplittableRandom(seed);
        List<SoakFault> faults = new ArrayList<>();
        int count = random.nextInt(MIN_FAULTS, MAX_FAULTS + 1);
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            boolean instantRestart = random.nextInt(INSTANT_RESTART_ONE_IN) == 0
                    && (kind == Kind.KILL || kind == Kind.KILL_ALL || kind == Kind.KILL_LEADERS_IN_SERIES);
            long durationMs = instantRestart
                    ? random.nextLong(1, INSTANT_RESTART_MS)
                    : random.nextLong(MIN_DURATION_MS, Math.min(MAX_DURATION_MS, lengthMs / 2));
            long startMs = random.nextLong(0, lengthMs - durationMs);
            int controller = random.nextInt(LEADER_CONCERNED_ONE_IN) == 0 ? LEADER : random.nextInt(CONTROLLERS);
            Effect effect = LINK_EFFECTS.get(random.nextInt(LINK_EFFECTS.size()));
            faults.add(new SoakFault(kind, startMs, durationMs, controller, effect));
        }
        addOverlap(faults, random, lengthMs);
        faults.sort(Comparator.comparingLong(SoakFault::startMs));
        return faults;
    }

    /** Adds leaders that end in series, and two other faults that begin while they do. */
    private static void addOverlap(List<SoakFault> faults, SplittableRandom random, long lengthMs) {
        long durationMs = Math.min(MAX_DURATION_MS, lengthMs / 3);
        long startMs = random.nextLong(0, lengthMs - 2 * durationMs);
        Effect effect = LINK_EFFECTS.get(random.nextInt(LINK_EFFECTS.size()));
        faults.add(new SoakFault(Kind.KILL_LEADERS_IN_SERIES, startMs, durationMs, LEADER, effect));
        for (int i = 0; i < OVERLAPPING_FAULTS; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            long beginsMs = startMs + random.nextLong(0, durationMs);
            long lastsMs = random.nextLong(MIN_DURATION_MS, durationMs);
            faults.add(new SoakFault(kind, beginsMs, lastsMs, random.nextInt(CONTROLLERS), effect));
        }
    }
}
