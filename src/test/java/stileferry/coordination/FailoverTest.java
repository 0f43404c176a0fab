package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.service;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stileferry.protocol.MessageCodec;

/** Leadership in a healthy cluster, after a crash, and with a record that the next leader cannot read. */
class FailoverTest {
    @Test
    void aNewLeaderIsElectedWithinSecondsOfACrash() {
        SimulatedCluster cluster = new SimulatedCluster(5);
        cluster.runFor(10);
        ControllerNode first = cluster.leader();
        assertTrue(first != null, "nobody leads");
        first.crash();
        cluster.runFor(5);
        ControllerNode second = cluster.leader();
        assertTrue(second != null && second != first, "nobody else leads after 5 s");
        assertFalse(first.up());
    }

    /** Guards against a commit that fails because its record was deleted while the last change was under way. */
    @Test
    void aHealthyLeaderKeepsItsTerm() {
        SimulatedCluster cluster = new SimulatedCluster(6);
        SplittableRandom random = cluster.random.split();
        cluster.runFor(3);
        for (int i = 0; i < 60; i++) {
            cluster.submit(Workloads.random(i, random));
            cluster.runFor(2);
        }
        assertEquals(1, cluster.term());
        assertEquals(List.of(), cluster.violations);
    }

    /** A record that can't be read is still a job that somebody was told is accepted. */
    @Test
    void aJobWithAnUnreadableRecordStaysKnownAfterFailover() {
        SimulatedCluster cluster = SimulatedCluster.started(34);
        cluster.submit(service(1, 1, 1));
        cluster.runFor(10);
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.store.request(
                "POST",
                "/commit",
                MessageCodec.decode(MessageCodec.encode(MessageCodec.map()
                        .set(
                                "apply",
                                MessageCodec.list()
                                        .add(MessageCodec.map()
                                                .put("put", "j/job-1")
                                                .set("v", MessageCodec.map().put("spec", "?")))))),
                (status, body) -> {});
        cluster.controllers.values().forEach(n -> cluster.after(1000, n::start));
        cluster.faults.endedAt = cluster.now;
        cluster.runFor(100);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.now - cluster.users.get("job-1").lastResponseAt < 10_000, "nobody answers for it");
    }
}
