import com.fasterxml.jackson.databind.node.ObjectNode;

/** Jobs that wait for their own team's limit keep a job of another team, within its guarantee, from starting. */
final class LimitCovers {
    private static final double WAIT_LIMIT_S = 90;

    public static void main(String[] args) {
        Bed.main(args, LimitCovers::run);
    }

    private static int run(Bed bed) throws Exception {
        bed.startStandIns(1, 2.5, 14); // an ordinary and a spot machine in each zone
        bed.writeSettings(
                "[{\"name\": \"go-kulubu\", \"cpus\": 4.0, \"cpus_max\": 4.0},"
                        + " {\"name\": \"hizli-oyun\", \"cpus\": 8.0, \"cpus_max\": 24.0},"
                        + " {\"name\": \"yayin-masasi\", \"cpus\": 8.0, \"cpus_max\": 24.0}]",
                2.5, 14, 34);
        bed.startControllers();
        // a usual state: a service holds the ordinary machine of zone b, another one half of that of zone a
        ObjectNode zoneB = bed.job("job-1", "yayin-masasi", "standing", "critical", 1, 8, 13);
        zoneB.put("harbor", "b");
        bed.submit(zoneB);
        ObjectNode zoneA = bed.job("job-2", "go-kulubu", "standing", "critical", 1, 4, 13);
        zoneA.put("harbor", "a");
        bed.submit(zoneA);
        if (!bed.await("job-1 and job-2 run", 20, () -> bed.onMachine("job-1/0") && bed.onMachine("job-2/0"))) {
            return Bed.NOT_RUN;
        }
        // the disruption: a class of go-kulubu comes four times as often, so that its jobs wait for the team's limit
        for (int i = 0; bed.trouble && i < 3; i++) {
            bed.submit(bed.job("job-" + (10 + i), "go-kulubu", "array", "urgent", 1, 1, 3.3));
        }
        // waits for an ordinary machine in zone b, as it would on any day
        ObjectNode bound = bed.job("job-3", "hizli-oyun", "array", "normal", 1, 1, 3.3);
        bound.put("harbor", "b").put("tender", false);
        bed.submit(bound);
        Bed.sleep(1);
        // may run anywhere; together with job-3 it is within its team's guarantee
        bed.submit(bed.job("job-4", "hizli-oyun", "array", "normal", 1, 1, 3.3));
        double acceptedAt = bed.now();
        return bed.judgeWaiting("job-4", 1, 3.3, null, acceptedAt, WAIT_LIMIT_S);
    }
}
