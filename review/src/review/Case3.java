package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;

/**
 * One machine fails every task that it starts, for a few seconds, and is sound again. Checks that the job whose task
 * failed there is not left waiting for 90 s afterwards while the machine has room.
 */
public final class Case3 {
    private static final String ZONE = "queretaro-bajio";
    private static final long SICK_MS = 3000;
    private static final long LAST_START_MS = 25_000;
    private static final long MAX_WAITING_MS = 90_000;

    public static void main(String[] args) throws Exception {
        System.exit(run(Path.of(args[0], "record.txt"), !"0".equals(System.getenv("TROUBLE"))));
    }

    private static int run(Path recordFile, boolean trouble) throws Exception {
        long startedAt = Deployment.now();
        Deployment.Options options = new Deployment.Options();
        options.machinesPerPool = 3;
        options.bootS = 2; // "at times machines are up within a second or two"
        try (Deployment deployment = new Deployment(options, recordFile)) {
            for (int i = 0; i < Deployment.CONTROLLERS; i++) {
                deployment.start(i);
            }
            if (!deployment.await(() -> !deployment.leader().isEmpty(), 10_000)) {
                deployment.note("can't run: no leader");
                return 2;
            }
            // two services fill two of the zone's three machines, a third one takes 4 of the 16 CPUs of the last
            boolean accepted = deployment.submit(service("job-000001", 16))
                    && deployment.submit(service("job-000002", 16))
                    && deployment.submit(service("job-000003", 4));
            List<String> others = List.of("job-000001", "job-000002", "job-000003");
            if (!accepted || !deployment.await(() -> allRun(deployment, others), 15_000)) {
                deployment.note("can't run: the services did not start");
                return 2;
            }
            String machine = machineOf(deployment, "job-000003");
            deployment.note("machines of the zone: " + deployment.machinesIn(ZONE) + "; with room: " + machine);
            if (trouble) {
                deployment.setSick(machine, true);
            }
            if (!deployment.submit(service("job-000004", 2))) {
                deployment.note("can't run: the job was not accepted");
                return 2;
            }
            Deployment.sleep(SICK_MS);
            if (trouble) {
                deployment.setSick(machine, false);
            }
            if (Deployment.now() - startedAt > LAST_START_MS) {
                deployment.note("can't run: no time left for 90 s");
                return 2;
            }
            return observe(deployment, machine);
        }
    }

    private static int observe(Deployment deployment, String machine) {
        long soundSince = Deployment.now();
        String leader = deployment.leader();
        boolean compared = false;
        while (Deployment.now() - soundSince <= MAX_WAITING_MS) {
            if (deployment.running("job-000004") > 0 && Deployment.now() - soundSince > 3000) {
                deployment.note("job-000004 runs on " + machineOf(deployment, "job-000004"));
                deployment.note("result: the rule held");
                return 0;
            }
            if (!compared && Deployment.now() - soundSince > 10_000) { // shows that the machine has room and works
                compared = true;
                deployment.submit(service("job-000005", 2));
            }
            deployment.ask((int) (Deployment.now() / 5000 % 3), "GET", "/work/job-000004", null, 2000);
            Deployment.sleep(Math.min(5000, Math.max(1, soundSince + MAX_WAITING_MS + 1 - Deployment.now())));
        }
        deployment.note("a job like it, submitted 10 s after the trouble, runs on "
                + (deployment.running("job-000005") > 0 ? machineOf(deployment, "job-000005") : "no machine"));
        deployment.note("leader " + leader + " then, " + deployment.leader() + " now; machines of the zone: "
                + deployment.machinesIn(ZONE));
        boolean hasRoom = deployment.machinesIn(ZONE).contains(machine) && deployment.running("job-000005") > 0;
        if (!hasRoom) {
            deployment.note("can't judge: the machine has no room any more");
            return 2;
        }
        deployment.note("job-000004 was left waiting for 90 s while " + machine + " has room for it");
        deployment.note("result: the rule was broken");
        return 1;
    }

    /** A service of one task that may run in one zone alone. */
    private static ObjectNode service(String id, double cores) {
        ObjectNode job = Deployment.job(id, "autoriza-linea", "standing", "critical", 1, cores, 0);
        return job.put("harbor", ZONE);
    }

    private static boolean allRun(Deployment deployment, List<String> jobs) {
        return jobs.stream().allMatch(job -> deployment.running(job) == 1);
    }

    private static String machineOf(Deployment deployment, String job) {
        List<String> tasks = deployment.tasksIn(ZONE, job);
        return tasks.isEmpty() ? "" : tasks.get(0).substring(tasks.get(0).indexOf('@') + 1);
    }
}
