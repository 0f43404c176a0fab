package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.coordination.RulesTest.array;
import static stileferry.coordination.RulesTest.restart;
import static stileferry.coordination.RulesTest.service;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stileferry.protocol.JobSpec;

/** Two troubles at a time, each meeting brought about on purpose; every rule is checked at every step. */
class MeetingsTest {
    /** Eight jobs of long tasks that run. */
    private static World busy(long seed) {
        World w = new World(seed);
        w.play(3);
        for (int i = 0; i < 6; i++) {
            w.submit(array(i, "any", JobSpec.Priority.NORMAL, 2, 300));
        }
        w.submit(service(6, 2, 2));
        w.submit(service(7, 2, 2));
        w.play(25);
        assertEquals(16, w.running());
        return w;
    }

    private static void cancelSome(World w) {
        for (int i = 0; i < 5; i++) {
            w.cancel(w.users.get("job-" + i));
        }
    }

    private static long confirmed(World w) {
        return w.users.values().stream().filter(u -> u.cancelledAt > 0).count();
    }

    private static void outageFrom(World w, double seconds) {
        w.stateDown = true;
        w.after(Math.round(1000 * seconds), () -> {
            w.stateDown = false;
            w.state.renewAll(w.now);
        });
    }

    private static void settled(World w) {
        w.quietSince = w.now;
        w.play(90);
        assertEquals(List.of(), w.violations);
        assertTrue(w.running() >= 4, "what nobody cancelled runs on or again: " + w.running());
    }

    /**
     * The leader alone is refused by the state service, or sees neither it nor the other controllers; another one confirms
     * cancellations; then the state service is down for longer than cancel_s while workers report to whom they did. Found
     * by the operators: the old leader went on renewing leases and knew nothing of the cancellations, and the new one,
     * not sure to lead any more, sent no stops.
     */
    @ParameterizedTest
    @CsvSource({"101,refused,no", "102,alone,no", "103,alone,yes", "104,refused,yes", "105,refusedPeers,no",
            "106,alone,hang", "107,refused,hang", "108,refusedPeers,yes"})
    void cancellationsOfAnotherLeaderBeforeALongOutage(long seed, String how, String then) {
        World w = busy(seed);
        World.Node old = w.leader();
        if (how.equals("alone")) {
            w.alone.add(old.settings.node());
        } else {
            w.refused.add(old.settings.node());
            w.peersRefuse = how.equals("refusedPeers");
        }
        w.play(4);
        World.Node next = w.nodes.values().stream().filter(n -> n != old && n.coordinator.leads()).findFirst()
                .orElseThrow();
        if (then.equals("hang")) { // their stops do not arrive; what they report does
            w.users.values().forEach(u -> w.machinesOf(u).forEach(m -> w.deaf.add("w-" + m + ":1")));
            w.after(6000, w.deaf::clear);
        }
        cancelSome(w);
        w.play(1.2);
        if (how.equals("refusedPeers")) { // nobody else could be told, so only what has no task any more is confirmed
            w.users.values().stream().filter(u -> u.cancelledAt > 0).forEach(u ->
                    assertEquals(0, w.running(u), u.spec.id()));
        } else {
            assertTrue(confirmed(w) > 0, "nothing was confirmed");
        }
        outageFrom(w, 30);
        if (then.equals("yes")) {
            restart(w, next, 3000);
        }
        w.after(14_000, () -> {
            w.refused.clear();
            w.alone.clear();
            w.peersRefuse = false;
        });
        w.play(45);
        assertEquals(List.of(), w.violations);
        settled(w);
    }
}
