import stileferry.protocol.MessageCodec;

/** The oldest waiting job, which waits for its own team's limit, keeps all machines from everybody else. */
final class HeadProtection {
    private static final double WAIT_LIMIT_S = 90;

    /** The lowest value that the administration API takes; the default is 600. */
    private static final double HEAD_PROTECTION_S = 10;

    public static void main(String[] args) {
        Bed.main(args, HeadProtection::run);
    }

    private static int run(Bed bed) throws Exception {
        bed.startStandIns(4, 2.5, 14);
        bed.writeSettings(
                "[{\"name\": \"go-kulubu\", \"cpus\": 4.0, \"cpus_max\": 4.0},"
                        + " {\"name\": \"hizli-oyun\", \"cpus\": 8.0, \"cpus_max\": 24.0}]",
                2.5, 14, 34);
        bed.startControllers();
        if (!bed.adminSet(MessageCodec.map().put("head_protection_s", HEAD_PROTECTION_S))) {
            return Bed.NOT_RUN;
        }
        bed.submit(bed.job("job-1", "go-kulubu", "standing", "critical", 1, 4, 13));
        if (!bed.await("job-1 runs", 20, () -> bed.onMachine("job-1/0"))) {
            return Bed.NOT_RUN;
        }
        // the disruption: the class comes four times as often, so that go-kulubu's jobs wait for the team's limit
        for (int i = 0; bed.trouble && i < 3; i++) {
            bed.submit(bed.job("job-" + (10 + i), "go-kulubu", "standing", "critical", 1, 4, 13));
        }
        Bed.sleep(HEAD_PROTECTION_S + 0.5);
        // the only job of its team, within the team's guarantee
        bed.submit(bed.job("job-2", "hizli-oyun", "array", "normal", 1, 1, 3.3));
        double acceptedAt = bed.now();
        return bed.judgeWaiting("job-2", 1, 3.3, null, acceptedAt, WAIT_LIMIT_S);
    }
}
