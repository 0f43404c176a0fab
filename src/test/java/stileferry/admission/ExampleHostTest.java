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
 * An example of a host program that embeds this package: three controllers in one process, with their own clock, leader
 * election, and a transport that loses messages.
 */
class ExampleHostTest {
    private static final AdmissionConfig CONFIG =
            new AdmissionConfig(Map.of("red", 1.0, "blue", 1.0), Set.of("games"), 1000, 4);
    private static final int CONTROLLERS = 3;
    private static final double MESSAGE_LOSS = 0.2;

    private final SplittableRandom random = new SplittableRandom(8);
    private final List<LoadShedder> loadShedders = new ArrayList<>();
    private final Map<String, Integer> admitted = new HashMap<>();
    private final Map<Long, List<Runnable>> retries = new HashMap<>();
    private AdmissionController controller;
    private int leader;
    private long term;
    private long now;

    private void electLeader(int node) {
        term++;
        leader = node;
        LoadShedder loadShedder = loadShedders.get(node);
        controller = new AdmissionController(CONFIG, term, loadShedder.lastTable(), loadShedder.tableAgeS(now));
        loadShedder.observeTerm(term);
    }

    /** A controller sends its demand to the leader and receives the leader's table; either message may be lost. */
    private void exchange(int node) {
        LoadShedder loadShedder = loadShedders.get(node);
        byte[] demand = AdmissionCodec.encode(loadShedder.demandReport(now));
        if (node != leader && random.nextDouble() < MESSAGE_LOSS) {
            return;
        }
        controller.mergeDemand(AdmissionCodec.decodeDemand(demand), now);
        byte[] table = AdmissionCodec.encode(controller.table());
        if (node == leader || random.nextDouble() >= MESSAGE_LOSS) {
            loadShedder.updateTable(AdmissionCodec.decodeTable(table), now, now);
        }
    }

    /** Sends a request to a random controller; if rejected, retries it at the retry time until the client gives up. */
    private void submit(String team, String id, long firstAttemptAt) {
        Flow flow = CONFIG.flow(team, "games", 2);
        int retryAfterS = loadShedders.get(random.nextInt(CONTROLLERS)).retryAfterS(flow, id, now);
        if (retryAfterS == 0) {
            retryAfterS = controller.decide(flow, id, now).retryAfterS();
        }
        if (retryAfterS == 0) {
            admitted.merge(team, 1, Integer::sum);
        } else if (now + 1000L * retryAfterS <= firstAttemptAt + 1000 * AdmissionConfig.CLIENT_RETRY_TIMEOUT_S) {
            retries.computeIfAbsent(now + 1000L * retryAfterS, absent -> new ArrayList<>())
                    .add(() -> submit(team, id, firstAttemptAt));
        }
    }

    @Test
    void admissionIsFairDespiteMessageLossAndFailovers() {
        for (int i = 0; i < CONTROLLERS; i++) {
            loadShedders.add(new LoadShedder(CONFIG, 1000));
        }
        electLeader(0);
        int jobs = 0;
        for (int second = 0; second < 300; second++, now += 1000) {
            List<Runnable> dueRetries = retries.remove(now);
            if (dueRetries != null) {
                dueRetries.forEach(Runnable::run);
            }
            for (int i = 0; i < 20; i++) {
                submit("red", "job-" + jobs++, now);
            }
            for (int i = 0; i < 3; i++) {
                submit("blue", "job-" + jobs++, now);
            }
            controller.updateShares(BackPressure.NONE, now);
            for (int node = 0; node < CONTROLLERS; node++) {
                exchange(node);
            }
            if (second % 60 == 59) {
                electLeader((leader + 1) % CONTROLLERS);
            }
        }
        int total = admitted.get("red") + admitted.get("blue");
        // the capacity divided over time, and the initial tokens of each of the six leaders
        assertTrue(
                total <= CONFIG.maxAdmissionsPerS() * (300 + 6 * AdmissionConfig.WINDOW_S),
                "too many admitted: " + total);
        assertTrue(total >= 0.7 * CONFIG.maxAdmissionsPerS() * 300, "too few admitted: " + total);
        assertTrue(admitted.get("blue") >= 0.6 * admitted.get("red"), admitted.toString());
    }

    @Test
    void allControllersComputeTheSameRetryTime() {
        Flow flow = CONFIG.flow("red", "games", 2);
        AdmissionController leading = new AdmissionController(CONFIG, 1, null, 0);
        for (int i = 0; i < 500; i++) {
            leading.decide(flow, "job-" + i, 0);
        }
        leading.updateShares(BackPressure.NONE, 0);
        LoadShedder first = new LoadShedder(CONFIG, 10);
        LoadShedder second = new LoadShedder(CONFIG, 10);
        first.updateTable(leading.table(), 0, 0);
        second.updateTable(AdmissionCodec.decodeTable(AdmissionCodec.encode(leading.table())), 0, 0);
        int rejected = 0;
        for (int i = 0; i < 500; i++) {
            int retryAfterS = first.retryAfterS(flow, "job-" + i, 2000);
            assertEquals(retryAfterS, second.retryAfterS(flow, "job-" + i, 2000));
            rejected += retryAfterS > 0 ? 1 : 0;
        }
        assertTrue(rejected > 300, "too few jobs rejected: " + rejected);
    }
}
