package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * An example of a host program: three members in one process admit with this package alone, with a clock, a transport
 * that loses messages, and a leadership of their own.
 */
class ExampleHostTest {
    private static final AdmissionConfig CONFIG =
            new AdmissionConfig(Map.of("red", 1.0, "blue", 1.0), Set.of("games"), 1000, 4);
    private static final int MEMBERS = 3;
    private static final double LOST = 0.2;

    private final SplittableRandom random = new SplittableRandom(8);
    private final List<LoadShedder> doors = new ArrayList<>();
    private final Map<String, Integer> admitted = new HashMap<>();
    private final Map<Long, List<Runnable>> retries = new HashMap<>();
    private AdmissionController controller;
    private int leader;
    private long term;
    private long now;

    private void lead(int member) {
        term++;
        leader = member;
        LoadShedder door = doors.get(member);
        controller = new AdmissionController(CONFIG, term, door.lastTable(), door.tableAgeS(now));
        door.observeTerm(term);
    }

    /** One member asks the leader for its table; either message may be lost. */
    private void exchange(int member) {
        LoadShedder door = doors.get(member);
        byte[] demand = AdmissionCodec.encode(door.demandReport(now));
        if (member != leader && random.nextDouble() < LOST) {
            return;
        }
        controller.mergeDemand(AdmissionCodec.decodeDemand(demand), now);
        byte[] table = AdmissionCodec.encode(controller.table());
        if (member == leader || random.nextDouble() >= LOST) {
            door.updateTable(AdmissionCodec.decodeTable(table), now, now);
        }
    }

    /** One request; who is refused comes back when told, for a minute in all. */
    private void submit(String team, String id, long since) {
        Flow flow = CONFIG.flow(team, "games", 2);
        int retryAfterS = doors.get(random.nextInt(MEMBERS)).retryAfterS(flow, id, now);
        if (retryAfterS == 0) {
            retryAfterS = controller.decide(flow, id, now).retryAfterS();
        }
        if (retryAfterS == 0) {
            admitted.merge(team, 1, Integer::sum);
        } else if (now + 1000L * retryAfterS <= since + 1000 * AdmissionConfig.CLIENT_RETRY_TIMEOUT_S) {
            retries.computeIfAbsent(now + 1000L * retryAfterS, at -> new ArrayList<>())
                    .add(() -> submit(team, id, since));
        }
    }

    @Test
    void aHostAdmitsFairlyThroughLostMessagesAndChangesOfLeader() {
        for (int i = 0; i < MEMBERS; i++) {
            doors.add(new LoadShedder(CONFIG, 1000));
        }
        lead(0);
        int number = 0;
        for (int second = 0; second < 300; second++, now += 1000) {
            List<Runnable> back = retries.remove(now);
            if (back != null) {
                back.forEach(Runnable::run);
            }
            for (int i = 0; i < 20; i++) {
                submit("red", "job-" + number++, now);
            }
            for (int i = 0; i < 3; i++) {
                submit("blue", "job-" + number++, now);
            }
            controller.updateShares(BackPressure.NONE, now);
            for (int member = 0; member < MEMBERS; member++) {
                exchange(member);
            }
            if (second % 60 == 59) {
                lead((leader + 1) % MEMBERS);
            }
        }
        int all = admitted.get("red") + admitted.get("blue");
        // what each new leader's tokens allow at first, and what was divided
        assertTrue(all <= CONFIG.maxAdmissionsPerS() * (300 + 6 * AdmissionConfig.WINDOW_S), "admitted " + all);
        assertTrue(all >= 0.7 * CONFIG.maxAdmissionsPerS() * 300, "admitted " + all);
        assertTrue(admitted.get("blue") >= 0.6 * admitted.get("red"), admitted.toString());
    }

    @Test
    void allMembersGiveTheSameTurn() {
        Flow flow = CONFIG.flow("red", "games", 2);
        AdmissionController one = new AdmissionController(CONFIG, 1, null, 0);
        for (int i = 0; i < 500; i++) {
            one.decide(flow, "job-" + i, 0);
        }
        one.updateShares(BackPressure.NONE, 0);
        LoadShedder first = new LoadShedder(CONFIG, 10);
        LoadShedder second = new LoadShedder(CONFIG, 10);
        first.updateTable(one.table(), 0, 0);
        second.updateTable(AdmissionCodec.decodeTable(AdmissionCodec.encode(one.table())), 0, 0);
        int refused = 0;
        for (int i = 0; i < 500; i++) {
            int wait = first.retryAfterS(flow, "job-" + i, 2000);
            assertEquals(wait, second.retryAfterS(flow, "job-" + i, 2000));
            refused += wait > 0 ? 1 : 0;
        }
        assertTrue(refused > 300, "refused " + refused);
    }
}
