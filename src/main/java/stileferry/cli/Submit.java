package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import stileferry.protocol.ApiPaths;
import stileferry.protocol.JobSpec;
import stileferry.protocol.MessageCodec;

/** Submits a job. */
@Command(
        name = "submit",
        description = "Submits a job, from flags or from a JSON file with the protocol's fields.",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        footer = {"", "Example: stileferry submit --node 127.0.0.1:7701 --id job-1 --team red --tasks 3 --cpus 1"})
final class Submit implements Callable<Integer> {
    @Mixin
    private ControllerConnection connection;

    @Option(names = "--file", paramLabel = "FILE", description = "The job as JSON; flags of the job are then ignored.")
    private Path file;

    @Option(names = "--id", defaultValue = "", description = "Unique id: job- and up to 18 digits.")
    private String id;

    @Option(names = "--class", defaultValue = "default", description = "Class of jobs (default ${DEFAULT-VALUE}).")
    private String jobClass;

    @Option(names = "--team", defaultValue = "", description = "Team whose guarantee and limit apply.")
    private String team;

    @Option(names = "--kind", defaultValue = "array", description = "${COMPLETION-CANDIDATES} (default array).")
    private JobSpec.Kind kind;

    @Option(names = "--priority", defaultValue = "normal", description = "${COMPLETION-CANDIDATES} (default normal).")
    private JobSpec.Priority priority;

    @Option(names = "--tasks", defaultValue = "1", description = "Number of tasks (default 1).")
    private int tasks;

    @Option(names = "--cpus", defaultValue = "1", description = "CPUs of each task (default 1).")
    private double cpus;

    @Option(names = "--gpus", defaultValue = "0", description = "GPUs of each task (default 0).")
    private double gpus;

    @Option(names = "--memory-gb", defaultValue = "1", description = "Memory of each task (default 1).")
    private double memoryGb;

    @Option(names = "--image", defaultValue = "none", description = "Image that the tasks need (default none).")
    private String image;

    @Option(names = "--image-gb", defaultValue = "0", description = "Size of the image (default 0).")
    private double imageGb;

    @Option(names = "--type", split = ",", description = "Allowed machine types (default any).")
    private List<String> types;

    @Option(names = "--zone", description = "The only allowed zone (default any).")
    private String zone;

    @Option(names = "--one-zone", description = "All tasks in the same zone.")
    private boolean oneZone;

    @Option(names = "--spread", description = "At most half of the tasks in one zone.")
    private boolean spread;

    @Option(names = "--spot", description = "Spot machines may be used.")
    private boolean spot;

    @Option(names = "--estimate-s", defaultValue = "0", description = "Estimated run time of a task (default 0).")
    private double estimateS;

    @Option(names = "--checkpoint-s", defaultValue = "0", description = "Interval of checkpoints (default 0: none).")
    private double checkpointS;

    @Option(names = "--save-s", defaultValue = "0", description = "Time a task needs to save (default 0).")
    private double saveS;

    @Option(names = "--deadline-s", defaultValue = "-1", description = "Deadline after submission (default none).")
    private double deadlineS;

    @Override
    public Integer call() throws IOException, InterruptedException {
        JsonNode body = file == null ? fromFlags() : new ObjectMapper().readTree(Files.readString(file));
        return connection.request("POST", ApiPaths.JOBS, MessageCodec.encode(body), JobText::of);
    }

    private JsonNode fromFlags() {
        return new JobSpec(
                        id,
                        jobClass,
                        team,
                        kind,
                        priority,
                        tasks,
                        cpus,
                        gpus,
                        memoryGb,
                        image,
                        imageGb,
                        types,
                        zone,
                        oneZone,
                        spread,
                        spot,
                        estimateS,
                        checkpointS,
                        saveS,
                        deadlineS)
                .write();
    }
}
