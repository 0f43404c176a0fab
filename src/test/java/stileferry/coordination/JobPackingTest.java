package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stileferry.protocol.JobSpec;
import stileferry.protocol.Wire;

class JobPackingTest {
    private static final double VALUE_KB = 8;

    private static JobSpec spec(int tasks) {
        return new JobSpec("job-1", "any", "red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, tasks, 1, 0, 1, "img", 1,
                null, null, false, false, true, 10, 0, 0, -1);
    }

    /** The largest job there may be, with every task claimed at once, stays within the service's value limit. */
    @Test
    void aHundredThousandClaimsFitTheirRecords() throws JobSpec.Malformed {
        int chunk = Job.chunkTasks(VALUE_KB);
        Job job = new Job(spec(100_000), 1, 2, chunk, 0);
        for (int i = 0; i < 100_000; i++) {
            Claim claim = new Claim(job, i, (1L << 52) + i, "host-123456789", 100_000, 0);
            job.claims.put(i, claim);
        }
        int read = 0;
        Job copy = new Job(spec(100_000), 1, 2, chunk, 0);
        for (int n = 0; n * chunk < 100_000; n++) {
            JsonNode v = job.writeChunk(n);
            assertTrue(v.toString().length() < VALUE_KB * 1024 - 64, "chunk of " + v.toString().length());
            List<Claim> claims = copy.readChunk(n, Wire.decode(Wire.encode(v)), 5);
            read += claims.size();
            Claim first = claims.get(0);
            assertEquals(n * chunk, first.index);
            assertEquals((1L << 52) + first.index, first.attempt);
            assertEquals("host-123456789", first.machine);
        }
        assertEquals(100_000, read);
    }

    @Test
    void whatIsDoneIsReadBack() throws JobSpec.Malformed {
        Job job = new Job(spec(1000), 1, 2, 128, 0);
        List<Integer> done = new ArrayList<>(List.of(0, 1, 127, 128, 300, 999));
        done.forEach(job.done::set);
        Job copy = Job.read(Wire.decode(Wire.encode(record(job))), 3);
        for (int n = 0; n < 8; n++) {
            copy.readChunk(n, Wire.decode(Wire.encode(job.writeChunk(n))), 4);
        }
        assertEquals(job.done, copy.done);
        assertEquals(994, copy.waitingCount());
        assertEquals(2, copy.nextWaiting(0));
        assertEquals(spec(1000).write(), copy.spec.write());
    }

    private static JsonNode record(Job job) {
        return Wire.map().put("order", job.order).put("at", job.acceptedAt).put("chunk", job.chunkTasks)
                .put("cancelled", false).set("spec", job.spec.write());
    }

    @Test
    void aGangWaitsUntilNoneOfItIsLeft() {
        JobSpec s = spec(3);
        Job job = new Job(new JobSpec(s.id(), s.jobClass(), s.team(), JobSpec.Kind.GANG, s.priority(), 3, 1, 0, 1, "img", 1,
                null, null, false, false, true, 10, 0, 0, -1), 1, 2, 128, 0);
        job.accepted = true;
        assertEquals(0, job.nextWaiting(0));
        job.claims.put(1, new Claim(job, 1, 1, "m", 1, 0));
        job.taken.set(1);
        assertEquals(-1, job.nextWaiting(0), "a gang starts whole or not at all");
    }
}
