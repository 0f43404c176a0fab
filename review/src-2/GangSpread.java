import com.fasterxml.jackson.databind.node.ObjectNode;

/** Work is stopped in one zone for a gang that must be spread over two and finds no room in the other. */
final class GangSpread {
    private static final double WAIT_LIMIT_S = 90;
    private static final int TASKS = 8;

    public static void main(String[] args) {
        Bed.main(args, GangSpread::run);
    }

    private static int run(Bed bed) throws Exception {
        bed.startStandIns(1, 2.5, 14); // an ordinary and a spot machine in each zone
        bed.writeSettings(
                "[{\"name\": \"go-kulubu\", \"cpus\": 8.0, \"cpus_max\": 24.0},"
                        + " {\"name\": \"hizli-oyun\", \"cpus\": 8.0, \"cpus_max\": 24.0},"
                        + " {\"name\": \"yayin-masasi\", \"cpus\": 8.0, \"cpus_max\": 24.0}]",
                2.5, 14, 34);
        bed.startControllers();
        // the disruption: canli-mac comes twice as often, so that the ordinary machine of zone b is full
        int services = bed.trouble ? 2 : 1;
        for (int i = 0; i < services; i++) {
            ObjectNode service = bed.job("job-" + (1 + i), "yayin-masasi", "standing", "critical", 1, 4, 13);
            service.put("harbor", "b");
            bed.submit(service);
        }
        // within its team's guarantee; fills the ordinary machine of zone a
        ObjectNode array = bed.job("job-3", "hizli-oyun", "array", "normal", TASKS, 1, 3.3);
        array.put("harbor", "a").put("tender", false).put("crossing_s", 25.0);
        bed.submit(array);
        if (!bed.await(
                "the services and job-3 run",
                25,
                () -> bed.onMachine("job-1/0")
                        && (services == 1 || bed.onMachine("job-2/0"))
                        && bed.runningOfJob("job-3") == TASKS)) {
            return Bed.NOT_RUN;
        }
        ObjectNode gang = bed.job("job-4", "go-kulubu", "group", "urgent", 4, 2, 6.4);
        gang.put("berth", "turnuva-eslestirme").put("apart", true).put("tender", false).put("crossing_s", 30.0);
        gang.put("waypoint_s", 20.0).put("stow_s", 2.0);
        bed.submit(gang);
        return GangOverLimit.judge(bed);
    }
}
