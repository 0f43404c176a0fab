package stileferry.cluster;

import java.util.List;
import stileferry.protocol.JobSpec;

/** Builds jobs for tests; what a test does not name is an array of one task of 1 CPU and 1 GB with a small image. */
public final class TestJob {
    private final String id;
    private String jobClass = "any";
    private String team = "red";
    private JobSpec.Kind kind = JobSpec.Kind.ARRAY;
    private JobSpec.Priority priority = JobSpec.Priority.NORMAL;
    private int taskCount = 1;
    private double cpus = 1;
    private double memoryGb = 1;
    private String image = "img";
    private double imageGb = 1;
    private List<String> machineTypes;
    private String zone;
    private boolean oneZone;
    private boolean spreadAcrossZones;
    private boolean allowsSpot = true;
    private double estimateS = 60;
    private double checkpointIntervalS;
    private double checkpointSaveS;

    private TestJob(String id) {
        this.id = id;
    }

    /** The job of this number. */
    public static TestJob number(int number) {
        return new TestJob("job-" + number);
    }

    public TestJob jobClass(String name) {
        jobClass = name;
        return this;
    }

    public TestJob team(String name) {
        team = name;
        return this;
    }

    public TestJob kind(JobSpec.Kind of) {
        kind = of;
        return this;
    }

    public TestJob priority(JobSpec.Priority of) {
        priority = of;
        return this;
    }

    public TestJob tasks(int count) {
        taskCount = count;
        return this;
    }

    public TestJob cpus(double count) {
        cpus = count;
        return this;
    }

    public TestJob memoryGb(double size) {
        memoryGb = size;
        return this;
    }

    public TestJob image(String name, double sizeGb) {
        image = name;
        imageGb = sizeGb;
        return this;
    }

    /** The machine types that it may use; null: all. */
    public TestJob machineTypes(List<String> names) {
        machineTypes = names;
        return this;
    }

    /** The only zone that it may use; null: all. */
    public TestJob zone(String name) {
        zone = name;
        return this;
    }

    public TestJob oneZone(boolean required) {
        oneZone = required;
        return this;
    }

    public TestJob spreadAcrossZones(boolean required) {
        spreadAcrossZones = required;
        return this;
    }

    public TestJob allowsSpot(boolean allowed) {
        allowsSpot = allowed;
        return this;
    }

    public TestJob estimateS(double seconds) {
        estimateS = seconds;
        return this;
    }

    public TestJob checkpoints(double intervalS, double saveS) {
        checkpointIntervalS = intervalS;
        checkpointSaveS = saveS;
        return this;
    }

    public JobSpec spec() {
        return new JobSpec(
                id,
                jobClass,
                team,
                kind,
                priority,
                taskCount,
                cpus,
                0,
                memoryGb,
                image,
                imageGb,
                machineTypes,
                zone,
                oneZone,
                spreadAcrossZones,
                allowsSpot,
                estimateS,
                checkpointIntervalS,
                checkpointSaveS,
                -1);
    }

    /** An accepted job; its place in the order of submissions and the time of day of its submission in ms. */
    public Job accepted(int acceptanceOrder, long acceptedAt) {
        Job job = new Job(spec(), acceptanceOrder, acceptedAt, 0);
        job.markAccepted();
        return job;
    }
}
