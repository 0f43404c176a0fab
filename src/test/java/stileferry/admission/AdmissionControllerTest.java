package stileferry.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.admission.AdmissionFixtures.BLUE;
import static stileferry.admission.AdmissionFixtures.CONFIG;
import static stileferry.admission.AdmissionFixtures.RED;

import org.junit.jupiter.api.Test;

/** Tests the leader's decisions over time: across a failover, and for a team that was idle. */
class AdmissionControllerTest {
    private static final long INTERVAL_MS = 1000;

    private long now;
    private int jobs;

    /** Submits this many new jobs of a flow and returns how many are admitted. */
    private int submit(AdmissionController controller, Flow flow, int number) {
        int admitted = 0;
        for (int job = 0; job < number; job++) {
            admitted += controller.decide(flow, "job-" + jobs++, now).admitted() ? 1 : 0;
        }
        return admitted;
    }

    private void submitEveryInterval(AdmissionController controller, int number, long untilMs) {
        for (; now < untilMs; now += INTERVAL_MS) {
            submit(controller, RED, number);
            controller.updateShares(BackPressure.NONE, now);
        }
    }

    /** The next leader continues the admission windows, so that retry times given before the failover remain valid. */
    @Test
    void admissionWindowsKeepTheirPositionsAcrossAFailover() {
        AdmissionController first = new AdmissionController(CONFIG, 1, null, 0);
        submitEveryInterval(first, 30, 20_000);
        double before = first.table().windows().get(RED).position();
        AdmissionController second = new AdmissionController(CONFIG, 2, first.table(), 0);
        for (int job = 0; job < 1000; job++) {
            second.decide(RED, "job-" + job, now);
        }
        second.updateShares(BackPressure.NONE, now);
        assertEquals(before, second.table().windows().get(RED).position(), 1e-9);
    }

    /**
     * A team that was idle gets its fair share immediately, however many jobs of others wait, but no credit for idle
     * time.
     */
    @Test
    void anIdleTeamGetsItsFairShareAtOnceWithoutCreditForIdleTime() {
        AdmissionController controller = new AdmissionController(CONFIG, 1, null, 0);
        submitEveryInterval(controller, 50, 60_000);
        int red = 0;
        int blue = 0;
        for (int second = 0; second < 30; second++, now += INTERVAL_MS) {
            for (int pair = 0; pair < 50; pair++) {
                red += submit(controller, RED, 1);
                blue += submit(controller, BLUE, 1);
            }
            controller.updateShares(BackPressure.NONE, now);
            if (second == 1) {
                assertTrue(blue > 0, "the idle team got no admission within two intervals");
                assertTrue(
                        blue <= CONFIG.maxAdmissionsPerS() * AdmissionConfig.WINDOW_S,
                        "more than a window of admissions for the idle team: " + blue);
            }
        }
        assertTrue(blue > red * 0.8, "red " + red + ", blue " + blue);
    }
}
