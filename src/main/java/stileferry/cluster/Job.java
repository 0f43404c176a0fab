package stileferry.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import stileferry.protocol.Heartbeat;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.PeerMessage;
import stileferry.storage.CommitQueue;

/** An accepted job that is not over, and what is known of its tasks. */
public final class Job {
    public static final String PREFIX = "j/";

    private final JobSpec spec;
    private final long order;
    private final long acceptedAt;
    private final BitSet done = new BitSet();

    /** Tasks that are done or claimed. */
    private final BitSet taken = new BitSet();

    private final Map<Integer, TaskAssignment> claims = new HashMap<>();
    private final Map<Integer, Retry> retries = new HashMap<>();
    private final Map<String, Integer> tasksInZone = new HashMap<>();

    /** Machines that failed a task of this job. */
    private final Set<String> failedOn = new HashSet<>();

    /** Users waiting for the acceptance, or for the cancellation, to be durable. */
    private List<Consumer<PeerMessage.Response>> waiting = new ArrayList<>();

    /** Since when the first of them waits; 0: nobody does. */
    private long waitingSince;

    private final CommitQueue.Entry record;

    /** Tasks in one part of the older form of record; 1 for jobs without such parts. */
    private int chunkTasks = 1;

    /** A task of it was seen running, or is done. */
    private boolean begun;

    private boolean accepted;
    private boolean cancelled;
    private boolean cancelDurable;

    /** Enough controllers know that it is cancelled. */
    private boolean cancelKnown;

    /** Users may hear that it is cancelled. */
    private boolean cancelTold;

    private boolean ending;

    /** Its end is durable. */
    private boolean over;

    /** The highest attempt of a gang of which a task has ended without being done; 0: none. */
    private long endedAttempt;

    private boolean withinGuarantee;

    /** Since when room is being made for it where its image is; 0: not so. */
    private long keptBackAt;

    private int successes;
    private int doneCount;
    private int[] doneRecords;

    /** Pauses between the starts of a failing task. */
    public static final class Retry {
        private static final long MAX_PAUSE_MS = 60_000;

        private int failures;
        private long notBefore;

        /**
         * Notes a failure and postpones the next start.
         *
         * @param now the controller's steady clock in milliseconds
         * @param firstPauseMs the pause after the first failure; it doubles with each further one
         * @param mostDoublings how often it doubles at most
         */
        public void backOff(long now, long firstPauseMs, int mostDoublings) {
            notBefore = now + Math.min(MAX_PAUSE_MS, firstPauseMs << Math.min(mostDoublings, failures++));
        }
    }

    public Job(JobSpec spec, long order, long acceptedAt, long revision) {
        this.spec = spec;
        this.order = order;
        this.acceptedAt = acceptedAt;
        this.record = new CommitQueue.Entry(key(spec.id()), revision, this::write).excludes(endedKey(spec.id()));
    }

    public static String key(String id) {
        return PREFIX + id;
    }

    public static String endedKey(String id) {
        return "e/" + id;
    }

    public static Job read(JsonNode v, long revision) throws JobSpec.Malformed {
        Job job = new Job(
                JobSpec.read(v.path("spec")),
                v.path("order").asLong(),
                v.path("at").asLong(),
                revision);
        job.chunkTasks = Math.max(1, v.path("chunk").asInt(1));
        job.accepted = true;
        job.cancelled = v.path("cancelled").asBoolean();
        job.cancelDurable = job.cancelled;
        return job;
    }

    private ObjectNode write() {
        ObjectNode v =
                MessageCodec.map().put("order", order).put("at", acceptedAt).put("cancelled", cancelled);
        if (chunkTasks > 1) {
            v.put("chunk", chunkTasks);
        }
        v.set("spec", spec.write());
        return v;
    }

    /** Takes in that a task is done. */
    public void finish(int index) {
        taken.set(index);
        begun = true;
        if (!done.get(index)) {
            done.set(index);
            doneCount++;
        }
    }

    public int doneCount() {
        return doneCount;
    }

    /** The number of the record that says that a task is done. */
    public int doneRecord(int index) {
        return doneRecords == null ? 0 : doneRecords[index];
    }

    public void doneRecord(int from, int to, int number) {
        if (doneRecords == null) {
            doneRecords = new int[spec.tasks()];
        }
        java.util.Arrays.fill(doneRecords, from, to + 1, number);
    }

    /** The next task that waits and may start now; -1 when there is none. */
    public int nextWaiting(long now) {
        if (cancelled || ending || !accepted || spec.gang() && !gangReady(now)) {
            return -1;
        }
        for (int i = taken.nextClearBit(0); i < spec.tasks(); i = taken.nextClearBit(i + 1)) {
            Retry retry = retries.get(i);
            if (retry == null || retry.notBefore <= now) {
                return i;
            }
        }
        return -1;
    }

    /** A gang starts whole: not while a task of it may be on a machine, or has to pause after a failure. */
    private boolean gangReady(long now) {
        if (!claims.isEmpty()) {
            return false;
        }
        for (Retry retry : retries.values()) {
            if (retry.notBefore > now) {
                return false;
            }
        }
        return true;
    }

    /** Whether all tasks are claimed under one attempt number. */
    public boolean claimsFormOneAttempt() {
        return claims.size() == spec.tasks()
                && claims.values().stream()
                                .mapToLong(claim -> claim.attempt())
                                .distinct()
                                .count()
                        == 1;
    }

    public int waitingCount() {
        return cancelled || ending || !accepted ? 0 : spec.tasks() - taken.cardinality();
    }

    public int unfinished() {
        return spec.tasks() - doneCount;
    }

    public int runningCount() {
        int running = 0;
        for (TaskAssignment claim : claims.values()) {
            if (claim.runningAt() != 0) {
                running++;
            }
        }
        return running;
    }

    /** Whether a task that was sent to a machine may begin there without another word. */
    public boolean mayBegin() {
        for (TaskAssignment claim : claims.values()) {
            if (claim.stage() == null || claim.stage() == Heartbeat.TaskPhase.FETCHING) {
                return true;
            }
        }
        return false;
    }

    public JobSpec spec() {
        return spec;
    }

    public long order() {
        return order;
    }

    public long acceptedAt() {
        return acceptedAt;
    }

    public BitSet done() {
        return done;
    }

    /** Tasks that are done or claimed. */
    public BitSet taken() {
        return taken;
    }

    public Map<Integer, TaskAssignment> claims() {
        return claims;
    }

    public Map<Integer, Retry> retries() {
        return retries;
    }

    public Map<String, Integer> tasksInZone() {
        return tasksInZone;
    }

    /** Machines that failed a task of this job. */
    public Set<String> failedOn() {
        return failedOn;
    }

    /** Users waiting for the acceptance, or for the cancellation, to be durable. */
    public List<Consumer<PeerMessage.Response>> waiting() {
        return waiting;
    }

    public void setWaiting(List<Consumer<PeerMessage.Response>> waiting) {
        this.waiting = waiting;
    }

    /** Since when the first of them waits; 0: nobody does. */
    public long waitingSince() {
        return waitingSince;
    }

    public void setWaitingSince(long waitingSince) {
        this.waitingSince = waitingSince;
    }

    public CommitQueue.Entry record() {
        return record;
    }

    /** Tasks in one part of the older form of record; 1 for jobs without such parts. */
    public int chunkTasks() {
        return chunkTasks;
    }

    public void setChunkTasks(int chunkTasks) {
        this.chunkTasks = chunkTasks;
    }

    /** A task of it was seen running, or is done. */
    public boolean begun() {
        return begun;
    }

    public void setBegun(boolean begun) {
        this.begun = begun;
    }

    public boolean accepted() {
        return accepted;
    }

    public void setAccepted(boolean accepted) {
        this.accepted = accepted;
    }

    public boolean cancelled() {
        return cancelled;
    }

    public void setCancelled(boolean cancelled) {
        this.cancelled = cancelled;
    }

    public boolean cancelDurable() {
        return cancelDurable;
    }

    public void setCancelDurable(boolean cancelDurable) {
        this.cancelDurable = cancelDurable;
    }

    /** Enough controllers know that it is cancelled. */
    public boolean cancelKnown() {
        return cancelKnown;
    }

    public void setCancelKnown(boolean cancelKnown) {
        this.cancelKnown = cancelKnown;
    }

    /** Users may hear that it is cancelled. */
    public boolean cancelTold() {
        return cancelTold;
    }

    public void setCancelTold(boolean cancelTold) {
        this.cancelTold = cancelTold;
    }

    public boolean ending() {
        return ending;
    }

    public void setEnding(boolean ending) {
        this.ending = ending;
    }

    /** Its end is durable. */
    public boolean over() {
        return over;
    }

    public void setOver(boolean over) {
        this.over = over;
    }

    /** The highest attempt of a gang of which a task has ended without being done; 0: none. */
    public long endedAttempt() {
        return endedAttempt;
    }

    public void setEndedAttempt(long endedAttempt) {
        this.endedAttempt = endedAttempt;
    }

    public boolean withinGuarantee() {
        return withinGuarantee;
    }

    public void setWithinGuarantee(boolean withinGuarantee) {
        this.withinGuarantee = withinGuarantee;
    }

    /** Since when room is being made for it where its image is; 0: not so. */
    public long keptBackAt() {
        return keptBackAt;
    }

    public void setKeptBackAt(long keptBackAt) {
        this.keptBackAt = keptBackAt;
    }

    public int successes() {
        return successes;
    }

    /** Counts a task that completed. */
    public void countSuccess() {
        successes++;
    }
}
