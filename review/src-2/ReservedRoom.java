import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Room is made for a critical service by stopping others' work, and the service is never started in it. */
final class ReservedRoom {
    private static final double WAIT_LIMIT_S = 90;

    public static void main(String[] args) {
        Bed.main(args, ReservedRoom::run);
    }

    private static int run(Bed bed) throws Exception {
        bed.startStandIns(2, 2.5, 14); // two ordinary and two spot machines in each zone
        bed.writeSettings(
                "[{\"name\": \"go-kulubu\", \"cpus\": 8.0, \"cpus_max\": 24.0},"
                        + " {\"name\": \"hizli-oyun\", \"cpus\": 8.0, \"cpus_max\": 24.0},"
                        + " {\"name\": \"yayin-masasi\", \"cpus\": 16.0, \"cpus_max\": 200.0}]",
                2.5, 14, 34);
        bed.startControllers();
        // a usual state: a service holds both ordinary machines of zone b
        ObjectNode zoneB = bed.job("job-1", "yayin-masasi", "standing", "critical", 2, 8, 13);
        zoneB.put("harbor", "b").put("apart", false);
        bed.submit(zoneB);
        if (!bed.await("job-1 runs", 20, () -> bed.runningOfJob("job-1") == 2)) {
            return Bed.NOT_RUN;
        }
        // the disruption: analiz-dizisi comes four times as often
        int arrays = bed.trouble ? 4 : 1;
        for (int i = 0; i < arrays; i++) {
            ObjectNode analysis = bed.job("job-" + (10 + i), "yayin-masasi", "array", "normal", 40, 1, 3.3);
            analysis.put("crossing_s", 60.0);
            bed.submit(analysis);
        }
        bed.await("the arrays run", 12, () -> analysisTasks(bed) >= (bed.trouble ? 48 : 40));
        // bound to zone b, where it has to wait for an ordinary machine; within its team's guarantee
        ObjectNode bound = bed.job("job-2", "go-kulubu", "standing", "critical", 1, 4, 13);
        bound.put("harbor", "b");
        bed.submit(bound);
        Bed.sleep(0.5);
        // may run in any zone; the only job of its team, within the team's guarantee
        bed.submit(bed.job("job-3", "hizli-oyun", "standing", "critical", 1, 4, 13));
        double acceptedAt = bed.now();
        return bed.judgeWaiting("job-3", 4, 13, false, acceptedAt, WAIT_LIMIT_S);
    }

    private static int analysisTasks(Bed bed) {
        int tasks = 0;
        for (int i = 10; i < 14; i++) {
            tasks += bed.runningOfJob("job-" + i);
        }
        return tasks;
    }
}
