package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Huge arrays arrive four times as often as otherwise: 16 instead of 4. Checks that most questions about accepted jobs are answered afterwards, at
 * any of the three controllers.
 */
public final class Case2 {
    private static final int USUAL_ARRAYS = 4;
    private static final int ARRAYS = Integer.parseInt(System.getenv().getOrDefault("ARRAYS", "16"));
    private static final int TASKS = Integer.parseInt(System.getenv().getOrDefault("TASKS", "100000"));
    private static final double CORES = Double.parseDouble(System.getenv().getOrDefault("CORES", "16"));
    private static final long SETTLING_MS = 25_000;
    private static final long OBSERVED_MS = 55_000;

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
            List<String> jobs = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                ObjectNode job = Deployment.job("job-00000" + i, "autoriza-linea", "standing", "critical", 1, 1, 0);
                if (!deployment.submit(job)) {
                    deployment.note("can't run: a job was not accepted");
                    return 2;
                }
                jobs.add(job.path("name_id").asText());
            }
            int arrays = trouble ? ARRAYS : USUAL_ARRAYS;
            for (int i = 0; i < arrays; i++) {
                String id = String.format("job-%06d", 100 + i);
                ObjectNode job = Deployment.job(id, "arreglo-tarifas", "array", "normal", TASKS, CORES, 20);
                if (deployment.submitOnce(job)) {
                    jobs.add(id);
                }
            }
            deployment.note("accepted: " + jobs);
            Deployment.sleep(SETTLING_MS);
            deployment.note("the burst is over since " + SETTLING_MS / 1000 + " s; questions count from here");
            return observe(deployment, jobs);
        }
    }

    private static int observe(Deployment deployment, List<String> jobs) {
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        long until = Deployment.now() + OBSERVED_MS;
        List<Thread> users = new ArrayList<>();
        for (int i = 0; i < jobs.size(); i++) {
            String id = jobs.get(i);
            int number = i;
            Thread user = new Thread(() -> {
                while (Deployment.now() < until) {
                    asked.incrementAndGet();
                    if (answered(deployment, id, number)) {
                        answered.incrementAndGet();
                    }
                    Deployment.sleep(5000);
                }
            });
            user.setDaemon(true);
            user.start();
            users.add(user);
        }
        for (Thread user : users) {
            try {
                user.join();
            } catch (InterruptedException e) {
                return 2;
            }
        }
        for (int i = 0; i < Deployment.CONTROLLERS; i++) {
            deployment.note(Deployment.name(i) + (deployment.alive(i) ? " is alive" : " has ended")
                    + ", ready: " + deployment.ask(i, "GET", "/ready", null, 2000));
        }
        deployment.note("questions: asked " + asked + ", answered " + answered + ", term " + deployment.term()
                + ", tasks of the arrays that have begun: " + deployment.begun("job-0001"));
        boolean broken = 2 * answered.get() < asked.get();
        deployment.note(broken ? "result: the rule was broken" : "result: the rule held");
        return broken ? 1 : 0;
    }

    /** Asks one controller after another, as a load balancer would do for a user; each has the user's 2 s. */
    private static boolean answered(Deployment deployment, String id, int first) {
        for (int i = 0; i < Deployment.CONTROLLERS; i++) {
            Deployment.Answer answer =
                    deployment.ask((first + i) % Deployment.CONTROLLERS, "GET", "/work/" + id, null, 2000);
            if (answer != null && (answer.status() == 200 || answer.status() == 404)) {
                return true;
            }
        }
        return false;
    }
}
