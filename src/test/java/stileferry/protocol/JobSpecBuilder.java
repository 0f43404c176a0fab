package stileferry.protocol;

import java.util.List;

/**
 * Builds jobs for tests. By default, a job has one small task, belongs to the team {@code free}, which has no limit,
 * and may run on any machine type and in any zone.
 */
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

    /** Starts a job of this kind. A service is critical by default; all other kinds have normal priority. */
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

    /** Sets the job class. */
    public JobSpecBuilder jobClass(String name) {
        jobClass = name;
        return this;
    }

    /** Sets the team. */
    public JobSpecBuilder team(String name) {
        team = name;
        return this;
    }

    /** Sets the priority. */
    public JobSpecBuilder priority(JobSpec.Priority value) {
        priority = value;
        return this;
    }

    /** Sets the number of tasks. */
    public JobSpecBuilder tasks(int count) {
        tasks = count;
        return this;
    }

    /** Sets the CPUs that each task needs. */
    public JobSpecBuilder cpus(double count) {
        cpus = count;
        return this;
    }

    /** Sets the memory that each task needs, in GB. */
    public JobSpecBuilder memoryGb(double size) {
        memoryGb = size;
        return this;
    }

    /** Sets the name of the image. */
    public JobSpecBuilder image(String name) {
        image = name;
        return this;
    }

    /** Sets the size of the image in GB. */
    public JobSpecBuilder imageGb(double size) {
        imageGb = size;
        return this;
    }

    /** Sets the allowed machine types; null: any. */
    public JobSpecBuilder machineTypes(List<String> names) {
        machineTypes = names;
        return this;
    }

    /** Sets the only allowed zone; null: any. */
    public JobSpecBuilder zone(String name) {
        zone = name;
        return this;
    }

    /** Sets whether all tasks must be in the same zone. */
    public JobSpecBuilder oneZone(boolean value) {
        oneZone = value;
        return this;
    }

    /** Sets whether at most half of the tasks may be in one zone. */
    public JobSpecBuilder spreadAcrossZones(boolean value) {
        spreadAcrossZones = value;
        return this;
    }

    /** Sets whether the job may run on spot instances. */
    public JobSpecBuilder allowsSpot(boolean value) {
        allowsSpot = value;
        return this;
    }

    /** Sets the run time of each task, in seconds. */
    public JobSpecBuilder runS(double seconds) {
        runS = seconds;
        return this;
    }

    /** Sets the time between checkpoints of a task and the time that saving one takes, in seconds. */
    public JobSpecBuilder checkpoints(double intervalS, double saveS) {
        checkpointIntervalS = intervalS;
        checkpointSaveS = saveS;
        return this;
    }

    /** Returns the job. */
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
