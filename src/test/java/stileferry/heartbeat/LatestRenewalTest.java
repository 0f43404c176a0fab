package stileferry.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import stileferry.cluster.AgentState;

/** Tests from when a worker's lease is counted: as late as a renewal is possible, and no later. */
class LatestRenewalTest {
    private static final long NOT_BY_ALL = -1;
    private static final long INCARNATION = 1;

    private final AgentState agent = new AgentState();

    @Test
    void isUnknownAsLongAsAFormerLeaderMayRenew() {
        agent.beginIncarnation(100);
        agent.lease().markAnswered(200);
        assertNull(LatestRenewal.of(agent.lease(), INCARNATION, NOT_BY_ALL));
    }

    /** Guards against tasks that run twice: a former leader may renew until the agent acknowledges the term. */
    @Test
    void isNotBeforeTheAgentAcknowledgedTheTerm() {
        agent.lease().markAnswered(200);
        agent.lease().recordTermAcknowledged(5000);
        assertRenewal(5000, LatestRenewal.Proof.ACKNOWLEDGED_BY_AGENT, NOT_BY_ALL);
    }

    @Test
    void isTheLastResponseOnceTheAgentHasAcknowledgedTheTerm() {
        agent.lease().recordTermAcknowledged(5000);
        agent.lease().markAnswered(6000);
        assertRenewal(6000, LatestRenewal.Proof.ACKNOWLEDGED_BY_AGENT, NOT_BY_ALL);
    }

    @Test
    void needsNoResponseOnceTheAgentHasAcknowledgedTheTerm() {
        agent.lease().recordTermAcknowledged(5000);
        assertRenewal(5000, LatestRenewal.Proof.ACKNOWLEDGED_BY_AGENT, NOT_BY_ALL);
    }

    /** No former leader renews after all controllers have acknowledged the term, whenever the agent hears of it. */
    @Test
    void isNotDelayedByAnAgentThatAcknowledgesAfterTheControllers() {
        agent.lease().markAnswered(200);
        agent.lease().recordTermAcknowledged(5000);
        assertRenewal(300, LatestRenewal.Proof.ACKNOWLEDGED_BY_CONTROLLERS, 300);
    }

    /** A former leader that has recorded a last heartbeat answers no other, whenever the agent hears of the term. */
    @Test
    void isNotDelayedByAnAgentThatAcknowledgesAfterARecordedHeartbeat() {
        agent.lease().recordAnsweredByPreviousLeader(INCARNATION, 50);
        agent.lease().markAnswered(200);
        agent.lease().recordTermAcknowledged(5000);
        assertRenewal(200, LatestRenewal.Proof.RECORDED_BY_PREVIOUS_LEADER, NOT_BY_ALL);
    }

    @Test
    void doesNotRelyOnTheRecordOfAnEarlierIncarnation() {
        agent.lease().recordAnsweredByPreviousLeader(INCARNATION, 50);
        assertNull(LatestRenewal.of(agent.lease(), INCARNATION + 1, NOT_BY_ALL));
    }

    /** An incarnation may begin after all controllers have acknowledged the term, with a lease of its own. */
    @Test
    void isNotBeforeTheIncarnationWasSeen() {
        agent.beginIncarnation(7000);
        agent.lease().recordTermAcknowledged(5000);
        assertRenewal(7000, LatestRenewal.Proof.ACKNOWLEDGED_BY_CONTROLLERS, 300);
    }

    private void assertRenewal(long at, LatestRenewal.Proof proof, long acknowledgedByAllPeersAt) {
        assertEquals(
                new LatestRenewal(at, proof), LatestRenewal.of(agent.lease(), INCARNATION, acknowledgedByAllPeersAt));
    }
}
