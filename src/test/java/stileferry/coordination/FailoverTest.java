package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.Workloads.service;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stileferry.protocol.MessageCodec;

/** Tests leadership in a healthy cluster and after crashes, also with a record that the next leader can't read. */
class FailoverTest {
    @Test
    void aNewLeaderIsElectedWithinSecondsOfACrash() {
        SimulatedCluster cluster = new SimulatedCluster(5);
        cluster.runFor(10);
        ControllerNode firstLeader = cluster.leader();
        assertTrue(firstLeader != null, "no leader was elected");
        firstLeader.crash();
        cluster.runFor(5);
        ControllerNode secondLeader = cluster.leader();
        assertTrue(secondLeader != null && secondLeader != firstLeader, "no other leader was elected within 5 s");
        assertFalse(firstLeader.up());
    }

    /** Guards against leaders that change one after the other because each stalls longer than its lease. */
    @Test
    void leadersThatStallAtSizeDoNotChangeOneAfterTheOther() {
        SimulatedCluster cluster = BusyCluster.withLongJobs(41);
        stallLeaders(cluster, 15);
        long term = cluster.term();
        cluster.faults.endedAt = cluster.now;
        stallLeaders(cluster, 45);
        assertEquals(term, cluster.term());
        assertEquals(List.of(), cluster.violations);
    }

    /** Guards against leaders that change one after the other because a process that has just started knows nothing. */
    @Test
    void leadersThatStallAtSizeDoNotChangeOneAfterTheOtherWhenAllHaveRestarted() {
        SimulatedCluster cluster = BusyCluster.withLongJobs(41);
        stallLeaders(cluster, 15);
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.controllers.values().forEach(controller -> cluster.after(1000, controller::start));
        cluster.runFor(20);
        long term = cluster.term();
        cluster.faults.endedAt = cluster.now;
        stallLeaders(cluster, 45);
        assertEquals(term, cluster.term());
        assertEquals(List.of(), cluster.violations);
    }

    /** Makes the leader of the moment stall for longer than the lease that it begins with, every 4 s. */
    private static void stallLeaders(SimulatedCluster cluster, int times) {
        for (int i = 0; i < times; i++) {
            if (cluster.leader() != null) {
                cluster.leader().environment.pause(1600);
            }
            cluster.runFor(4);
        }
    }

    /** Guards against a commit that fails because its record was deleted while the previous commit was in flight. */
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

    /** A job whose record can't be read was still accepted, so its user must get responses about it. */
    @Test
    void aJobWithAnUnreadableRecordStaysKnownAfterFailover() {
        SimulatedCluster cluster = SimulatedCluster.started(34);
        cluster.submit(service(1, 1, 1));
        cluster.runFor(10);
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.store.handleRequest(
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
        assertTrue(
                cluster.now - cluster.users.get("job-1").lastResponseAt < 10_000, "no response about the job for 10 s");
    }
}
