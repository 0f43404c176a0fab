package stileferry.protocol;

import java.util.List;

/** Builds jobs for tests; what a test does not set is small, of the team without a limit, and may be anywhere. */
public final class JobSpecBuilder {
    private final String id;
    private final JobSpec.Kind kind;
    private String jobClass = "any";
    private String team = "free";
    private JobSpec.Priority priority;
    private int tasks = 1;
    private double cpus = 1;
    private double memoryGb = 1;
    private String image = "img";
    private double imageGb = 1;
    private List<String> machineTypes;
    private String zone;
    private boolean oneZone;
    private boolean spreadAcrossZones;
    private boolean allowsSpot;
    private double runS;
    private double checkpointIntervalS;
    private double checkpointSaveS;

    private JobSpecBuilder(String id, JobSpec.Kind kind) {
        this.id = id;
        this.kind = kind;
        this.priority = kind == JobSpec.Kind.SERVICE ? JobSpec.Priority.CRITICAL : JobSpec.Priority.NORMAL;
    }

    /** A job of this kind; a service is critical, all else has normal priority. */
    public static JobSpecBuilder of(JobSpec.Kind kind, String id) {
        return new JobSpecBuilder(id, kind);
    }

    public static JobSpecBuilder service(int number) {
        return of(JobSpec.Kind.SERVICE, "job-" + number);
    }

    public static JobSpecBuilder array(int number) {
        return of(JobSpec.Kind.ARRAY, "job-" + number);
    }

    public static JobSpecBuilder gang(int number) {
        return of(JobSpec.Kind.GANG, "job-" + number);
    }

    /** The job class. */
    public JobSpecBuilder jobClass(String name) {
        jobClass = name;
        return this;
    }

    /** The team. */
    public JobSpecBuilder team(String name) {
        team = name;
        return this;
    }

    /** The priority. */
    public JobSpecBuilder priority(JobSpec.Priority value) {
        priority = value;
        return this;
    }

    /** How many tasks it has. */
    public JobSpecBuilder tasks(int count) {
        tasks = count;
        return this;
    }

    /** What each task needs. */
    public JobSpecBuilder cpus(double count) {
        cpus = count;
        return this;
    }

    /** What each task needs. */
    public JobSpecBuilder memoryGb(double size) {
        memoryGb = size;
        return this;
    }

    /** The image. */
    public JobSpecBuilder image(String name) {
        image = name;
        return this;
    }

    /** The image's size in GB. */
    public JobSpecBuilder imageGb(double size) {
        imageGb = size;
        return this;
    }

    /** The machine types that the job may be on; null: any. */
    public JobSpecBuilder machineTypes(List<String> names) {
        machineTypes = names;
        return this;
    }

    /** The only zone that the job may be in; null: any. */
    public JobSpecBuilder zone(String name) {
        zone = name;
        return this;
    }

    /** Whether all tasks must be in the same zone. */
    public JobSpecBuilder oneZone(boolean value) {
        oneZone = value;
        return this;
    }

    /** Whether at most half of the tasks may be in each zone. */
    public JobSpecBuilder spreadAcrossZones(boolean value) {
        spreadAcrossZones = value;
        return this;
    }

    /** Whether it may run on spot instances. */
    public JobSpecBuilder allowsSpot(boolean value) {
        allowsSpot = value;
        return this;
    }

    /** How long each task runs. */
    public JobSpecBuilder runS(double seconds) {
        runS = seconds;
        return this;
    }

    /** How often each task saves its progress, and how long that takes. */
    public JobSpecBuilder checkpoints(double intervalS, double saveS) {
        checkpointIntervalS = intervalS;
        checkpointSaveS = saveS;
        return this;
    }

    /** The job as described. */
    public JobSpec build() {
        return new JobSpec(
                id,
                jobClass,
                team,
                kind,
                priority,
                tasks,
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
                runS,
                checkpointIntervalS,
                checkpointSaveS,
                -1);
    }
}
