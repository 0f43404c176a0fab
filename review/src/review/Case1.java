package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import stileferry.protocol.MessageCodec;

/**
 * The leader's zone is cut off for longer than a worker's lease, and late copies of its workers' reports reach the next
 * leader just as it begins. Checks that no task starts on a machine while it is on another one. For comparison: {@code COPIES=0}
 * sends no late copies, {@code PASS_S} sets another interval between passes, {@code CUT_MS} another length of the cut.
 */
public final class Case1 {
    private static final String LONG_JOB = "job-000001";
    private static final String SHORT_JOB = "job-000002";
    private static final double PASS_INTERVAL_S =
            Double.parseDouble(System.getenv().getOrDefault("PASS_S", "0.2"));
    private static final long CUT_MS =
            Long.parseLong(System.getenv().getOrDefault("CUT_MS", "43800"));

    public static void main(String[] args) throws Exception {
        System.exit(run(Path.of(args[0], "record.txt"), !"0".equals(System.getenv("TROUBLE"))));
    }

    private static int run(Path recordFile, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(new Deployment.Options(), recordFile)) {
            for (int i = 0; i < Deployment.CONTROLLERS; i++) {
                deployment.start(i);
            }
            if (!deployment.await(() -> !deployment.leader().isEmpty(), 15_000)) {
                deployment.note("can't run: no leader");
                return 2;
            }
            if (!setPassInterval(deployment)) {
                deployment.note("can't run: the operators' setting was not accepted");
                return 2;
            }
            // 24 long tasks and 8 short ones, each of which fills a machine: the short ones make room outside the zone
            boolean accepted = deployment.submit(
                            Deployment.job(LONG_JOB, "cuadre-nocturno", "array", "normal", 24, 16, 300))
                    && deployment.submit(Deployment.job(SHORT_JOB, "cuadre-nocturno", "array", "normal", 8, 16, 32));
            if (!accepted || !deployment.await(() -> deployment.running(LONG_JOB) == 24, 40_000)) {
                deployment.note("can't run: the tasks did not start");
                return 2;
            }
            Deployment.sleep(4000);
            String leader = deployment.leader();
            long term = deployment.term();
            String zone = deployment.options.controllerZones[Deployment.number(leader)];
            List<String> inZone = deployment.tasksIn(zone, LONG_JOB);
            deployment.note("leader " + leader + " in zone " + zone + ", term " + term + ", tasks there: " + inZone);
            if (inZone.isEmpty()) {
                deployment.note("can't run: no task in the leader's zone");
                return 2;
            }
            if (trouble) {
                cutLeadersZone(deployment, zone, term);
            } else {
                Deployment.sleep(CUT_MS + 12_000);
            }
            List<String> violations = deployment.violations();
            violations.forEach(violation -> deployment.note("ran_twice: " + violation));
            deployment.note(violations.isEmpty() ? "result: the rule held" : "result: the rule was broken");
            if (trouble && deployment.term() == term) {
                deployment.note("can't run: nobody else came to lead");
                return 2;
            }
            return violations.isEmpty() ? 0 : 1;
        }
    }

    /** Sets the least interval between passes that the administration API allows. */
    private static boolean setPassInterval(Deployment deployment) {
        ObjectNode request = MessageCodec.map().put("revision", 0);
        request.putObject("change").put("pass_interval_s", PASS_INTERVAL_S);
        return deployment.await(
                () -> {
                    Deployment.Answer answer = deployment.ask(
                            Deployment.number(deployment.leader()), "POST", "/admin/settings", request, 5000);
                    return answer != null && (answer.status() == 200 || answer.status() == 409);
                },
                10_000);
    }

    private static void cutLeadersZone(Deployment deployment, String zone, long term) {
        Map<String, byte[]> reports = deployment.lastReports(zone);
        deployment.cutZone(zone, term);
        long cutAt = Deployment.now();
        if (deployment.await(() -> deployment.term() > term, 15_000)) {
            int next = Deployment.number(deployment.leader());
            deployment.note("next leader: " + Deployment.name(next) + ", term " + deployment.term());
            Deployment.sleep(Math.max(300, 2500 - (Deployment.now() - cutAt))); // copies come at least 2 s late
            if (!"0".equals(System.getenv("COPIES"))) {
                reports.forEach((machine, report) -> {
                    for (int i = 0; i < Deployment.CONTROLLERS; i++) {
                        if (!deployment.options.controllerZones[i].equals(zone)) {
                            deployment.deliverCopy(i, machine, report);
                        }
                    }
                });
            }
        }
        Deployment.sleep(Math.max(0, CUT_MS - (Deployment.now() - cutAt)));
        deployment.endCut();
        Deployment.sleep(12_000);
    }
}
