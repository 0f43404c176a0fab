import com.fasterxml.jackson.databind.node.ObjectNode;

/** A gang that its team's limit does not admit has others' work stopped for it, again and again, and never starts. */
final class GangOverLimit {
    private static final double WAIT_LIMIT_S = 90;
    private static final int TASKS = 8;

    public static void main(String[] args) {
        Bed.main(args, GangOverLimit::run);
    }

    private static int run(Bed bed) throws Exception {
        bed.startStandIns(1, 2.5, 14); // an ordinary and a spot machine in each zone
        bed.writeSettings(
                "[{\"name\": \"go-kulubu\", \"cpus\": 12.0, \"cpus_max\": 12.0},"
                        + " {\"name\": \"hizli-oyun\", \"cpus\": 8.0, \"cpus_max\": 24.0}]",
                2.5, 14, 34);
        bed.startControllers();
        // the disruption: canli-mac comes twice as often, so that a gang of four tasks exceeds go-kulubu's limit
        int services = bed.trouble ? 2 : 1;
        for (int i = 0; i < services; i++) {
            ObjectNode service = bed.job("job-" + (1 + i), "go-kulubu", "standing", "critical", 1, 4, 13);
            service.put("harbor", "a");
            bed.submit(service);
        }
        if (!bed.await("the services run", 20, () -> bed.onMachine("job-1/0") && (services == 1 || bed.onMachine("job-2/0")))) {
            return Bed.NOT_RUN;
        }
        // within its team's guarantee; fills the spot machine of its zone
        ObjectNode array = bed.job("job-3", "hizli-oyun", "array", "normal", TASKS, 1, 3.3);
        array.put("harbor", "a").put("crossing_s", 25.0);
        bed.submit(array);
        if (!bed.await("job-3 runs", 15, () -> bed.runningOfJob("job-3") == TASKS)) {
            return Bed.NOT_RUN;
        }
        ObjectNode gang = bed.job("job-4", "go-kulubu", "group", "urgent", 4, 2, 6.4);
        gang.put("berth", "turnuva-eslestirme").put("harbor", "a").put("same_place", true).put("crossing_s", 30.0);
        gang.put("waypoint_s", 20.0).put("stow_s", 2.0);
        bed.submit(gang);
        return judge(bed);
    }

    /** job-3 may not be without a running task for longer than the limit while a machine of its zone has room. */
    static int judge(Bed bed) {
        double waitingSince = -1;
        for (int second = 0; bed.now() < 117; second++) {
            if (second % 5 == 0 && bed.status("job-3").tide().equals("done")) {
                bed.say("job-3 is done");
                return Bed.HELD;
            }
            boolean waits = bed.runningOfJob("job-3") == 0
                    && !bed.machinesWithRoom(1, 3.3, null, "a").isEmpty();
            if (!waits) {
                waitingSince = -1;
            } else if (waitingSince < 0) {
                waitingSince = bed.now();
                bed.say("no task of job-3 runs, beside room on " + bed.machinesWithRoom(1, 3.3, null, "a"));
            } else if (bed.now() - waitingSince > WAIT_LIMIT_S) {
                bed.status("job-3");
                bed.status("job-4");
                bed.say(String.format("BROKEN: job-3 waits beside room for %.1f s", bed.now() - waitingSince));
                return Bed.BROKEN;
            }
            Bed.sleep(1);
        }
        return Bed.HELD;
    }
}
