package stileferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import stileferry.protocol.UserMessages.JobState;

/** Renders a job's state as one line of text. */
final class JobText {
    private JobText() {}

    static String of(JsonNode body) {
        JobState job = JobState.read(body);
        return job.id() + " " + job.state() + ", " + job.completedTasks() + " tasks done, " + job.runningTasks()
                + " running";
    }
}
