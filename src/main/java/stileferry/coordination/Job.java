package stileferry.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import stileferry.protocol.JobSpec;
import stileferry.protocol.PeerRecord;
import stileferry.protocol.Wire;
import stileferry.storage.Ledger;

/** An accepted job that is not over, and what is known of its tasks. */
final class Job {
    /** Bytes that one claim takes in a chunk's record, with room to spare. */
    private static final int CLAIM_BYTES = 64;

    final JobSpec spec;
    final long order;
    final long acceptedAt;
    final int chunkTasks;
    final BitSet done = new BitSet();

    /** Tasks that are done or claimed. */
    final BitSet taken = new BitSet();

    final Map<Integer, Claim> claims = new HashMap<>();
    final Map<Integer, Retry> retries = new HashMap<>();
    final Map<String, Integer> tasksInZone = new HashMap<>();

    /** Machines that failed a task of this job. */
    final Set<String> failedOn = new HashSet<>();

    /** Users waiting for the acceptance, or for the cancellation, to be durable. */
    List<Consumer<PeerRecord.Answer>> waiting = new ArrayList<>();

    final Ledger.Entry record;
    final Map<Integer, Ledger.Entry> chunks = new HashMap<>();

    boolean accepted;
    boolean cancelled;
    boolean cancelDurable;
    boolean ending;
    boolean withinGuarantee;
    int successes;

    /** Pauses between the starts of a failing task. */
    static final class Retry {
        int failures;
        long notBefore;
    }

    Job(JobSpec spec, long order, long acceptedAt, int chunkTasks, long revision) {
        this.spec = spec;
        this.order = order;
        this.acceptedAt = acceptedAt;
        this.chunkTasks = chunkTasks;
        this.record = new Ledger.Entry(key(spec.id()), revision, this::write);
    }

    static String key(String id) {
        return "j/" + id;
    }

    static String endedKey(String id) {
        return "e/" + id;
    }

    /** Tasks that share one record, so that a record full of claims stays within the service's value limit. */
    static int chunkTasks(double valueKb) {
        return Math.max(1, Integer.highestOneBit((int) (valueKb * 1024 / CLAIM_BYTES)));
    }

    static Job read(JsonNode v, long revision) throws JobSpec.Malformed {
        Job job = new Job(JobSpec.read(v.path("spec")), v.path("order").asLong(), v.path("at").asLong(),
                Math.max(1, v.path("chunk").asInt(1)), revision);
        job.accepted = true;
        job.cancelled = v.path("cancelled").asBoolean();
        job.cancelDurable = job.cancelled;
        return job;
    }

    private ObjectNode write() {
        ObjectNode v = Wire.map().put("order", order).put("at", acceptedAt).put("chunk", chunkTasks)
                .put("cancelled", cancelled);
        v.set("spec", spec.write());
        return v;
    }

    Ledger.Entry chunkOf(int index) {
        return chunk(index / chunkTasks, 0);
    }

    Ledger.Entry chunk(int number, long revision) {
        return chunks.computeIfAbsent(number, n ->
                new Ledger.Entry("c/" + spec.id() + "/" + n, revision, () -> writeChunk(n)));
    }

    ObjectNode writeChunk(int number) {
        int from = number * chunkTasks;
        int to = Math.min(spec.tasks(), from + chunkTasks);
        StringBuilder hex = new StringBuilder();
        for (byte b : done.get(from, to).toByteArray()) {
            hex.append(Character.forDigit(b >> 4 & 15, 16)).append(Character.forDigit(b & 15, 16));
        }
        ObjectNode v = Wire.map().put("done", hex.toString());
        ArrayNode list = v.putArray("claims");
        for (int i = from; i < to; i++) {
            Claim claim = claims.get(i);
            if (claim != null) {
                list.addArray().add(i).add(claim.attempt).add(claim.machine).add(claim.session);
            }
        }
        return v;
    }

    /** Takes a chunk's record in; returns the claims it holds. */
    List<Claim> readChunk(int number, JsonNode v, long revision) {
        chunk(number, revision);
        String hex = v.path("done").asText();
        byte[] bits = new byte[hex.length() / 2];
        for (int i = 0; i < bits.length; i++) {
            bits[i] = (byte) Integer.parseInt(hex.substring(2 * i, 2 * i + 2), 16);
        }
        int from = number * chunkTasks;
        BitSet.valueOf(bits).stream().forEach(i -> {
            done.set(from + i);
            taken.set(from + i);
        });
        List<Claim> read = new ArrayList<>();
        for (JsonNode c : v.path("claims")) {
            Claim claim = new Claim(this, c.path(0).asInt(), c.path(1).asLong(), c.path(2).asText(),
                    c.path(3).asLong(), 0);
            claim.durable = true;
            claim.runsSent = 1;
            read.add(claim);
        }
        return read;
    }

    /** The next task that waits and may start now; -1 when there is none. */
    int nextWaiting(long now) {
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

    int waitingCount() {
        return cancelled || ending || !accepted ? 0 : spec.tasks() - taken.cardinality();
    }

    int unfinished() {
        return spec.tasks() - done.cardinality();
    }

    int runningCount() {
        int running = 0;
        for (Claim claim : claims.values()) {
            if (claim.runningAt != 0) {
                running++;
            }
        }
        return running;
    }
}
