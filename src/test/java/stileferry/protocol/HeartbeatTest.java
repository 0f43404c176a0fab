package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Heartbeats are parsed field by field, and their tasks are parsed only if they have changed. */
class HeartbeatTest {
    private static byte[] heartbeat(long sequence, String phase, boolean tasksLast) {
        ObjectNode body = MessageCodec.map().put("vessel", "m").put("voyage", 1).put("helm", 3);
        if (tasksLast) {
            body.put("log_seq", sequence);
        }
        body.putArray("passengers")
                .addObject()
                .put("passenger", "job-1/0")
                .put("launch", 7)
                .put("tide", phase);
        return MessageCodec.encode(tasksLast ? body : body.put("log_seq", sequence));
    }

    /** Parsing unchanged tasks again took a considerable part of the CPU time of a leader with many machines. */
    @Test
    void unchangedTasksAreReusedFromLastHeartbeat() {
        Heartbeat first = Heartbeat.read(heartbeat(1, "running", true));
        Heartbeat second = Heartbeat.read(heartbeat(2, "running", true), machine -> first);
        assertSame(first.tasks(), second.tasks());
        assertEquals(2, second.sequence());
        Heartbeat changed = Heartbeat.read(heartbeat(3, "saving", true), machine -> second);
        assertEquals(
                Heartbeat.TaskPhase.SAVING_CHECKPOINT, changed.tasks().get(0).phase());
        Heartbeat withoutLast = Heartbeat.read(heartbeat(4, "saving", true), machine -> null);
        assertEquals(changed.tasks(), withoutLast.tasks());
        Heartbeat tasksNotLast = Heartbeat.read(heartbeat(5, "saving", false), machine -> changed);
        assertEquals(changed.tasks(), tasksNotLast.tasks());
        assertEquals(5, tasksNotLast.sequence(), "fields after the task list must be read");
        byte[] complete = heartbeat(6, "saving", true);
        assertNull(Heartbeat.read(Arrays.copyOf(complete, complete.length - 1), machine -> changed));
    }
}
