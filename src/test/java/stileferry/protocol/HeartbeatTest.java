package stileferry.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Heartbeats are read field by field, and their tasks only when they have changed. */
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

    /** Reading the same tasks again was a good part of what a leader of many machines did. */
    @Test
    void unchangedTasksAreReusedFromLastHeartbeat() {
        Heartbeat first = Heartbeat.read(heartbeat(1, "running", true));
        Heartbeat second = Heartbeat.read(heartbeat(2, "running", true), machine -> first);
        assertSame(first.tasks(), second.tasks());
        assertEquals(2, second.sequence());
        Heartbeat changed = Heartbeat.read(heartbeat(3, "saving", true), machine -> second);
        assertEquals(
                Heartbeat.TaskPhase.SAVING_CHECKPOINT, changed.tasks().get(0).phase());
        Heartbeat unknown = Heartbeat.read(heartbeat(4, "saving", true), machine -> null);
        assertEquals(changed.tasks(), unknown.tasks());
        Heartbeat otherOrder = Heartbeat.read(heartbeat(5, "saving", false), machine -> changed);
        assertEquals(changed.tasks(), otherOrder.tasks());
        assertEquals(5, otherOrder.sequence(), "fields after the list are read");
        byte[] cut = heartbeat(6, "saving", true);
        assertNull(Heartbeat.read(Arrays.copyOf(cut, cut.length - 1), machine -> changed));
    }
}
