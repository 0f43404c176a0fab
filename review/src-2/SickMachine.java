import com.fasterxml.jackson.databind.node.ObjectNode;
import stileferry.standin.Worker;

/** A job that failed once, on a machine that was faulty for some seconds, is never started again. */
final class SickMachine {
    private static final double WAIT_LIMIT_S = 90;
    private static final double SICK_S = 5;

    public static void main(String[] args) {
        Bed.main(args, SickMachine::run);
    }

    private static int run(Bed bed) throws Exception {
        bed.startStandIns(1, 2.5, 14); // an ordinary and a spot machine in each zone
        bed.writeSettings("[{\"name\": \"hizli-oyun\", \"cpus\": 8.0, \"cpus_max\": 24.0}]", 2.5, 14, 34);
        bed.startControllers();
        ObjectNode first = bed.job("job-1", "hizli-oyun", "standing", "critical", 1, 4, 13);
        first.put("harbor", "b");
        bed.submit(first);
        if (!bed.await("job-1 runs", 20, () -> bed.onMachine("job-1/0"))) {
            return Bed.NOT_RUN;
        }
        Worker worker = bed.workerOf("job-1/0");
        if (bed.trouble) {
            bed.say("from now on " + worker.machine() + " fails every task that it starts");
            bed.platform().execute(() -> worker.setFaulty(true));
        }
        ObjectNode second = bed.job("job-2", "hizli-oyun", "standing", "critical", 1, 4, 13);
        second.put("harbor", "b");
        bed.submit(second);
        Bed.sleep(SICK_S);
        bed.platform().execute(() -> worker.setFaulty(false));
        bed.say("no machine fails any more");
        double healthyAt = bed.now();
        if (bed.onMachine("job-2/0")) {
            bed.say("job-2 runs");
            return Bed.HELD;
        }
        int startsBefore = bed.startsOf("job-2/0");
        return bed.judgeWaiting("job-2", startsBefore, 4, 13, false, "b", healthyAt, WAIT_LIMIT_S);
    }
}
