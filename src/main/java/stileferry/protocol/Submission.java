package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A job submission of which only the job's id has been read, which is enough to recognise a repeated submission.
 * Everything else is read and validated by {@link #jobSpec()}.
 */
public final class Submission {
    private final String jobId;
    private final JsonNode body;

    private Submission(String jobId, JsonNode body) {
        this.jobId = jobId;
        this.body = body;
    }

    /** Reads the job's id from an encoded body; returns null if the body is not a map with a valid job id. */
    public static Submission read(byte[] bytes) {
        JsonNode body = MessageCodec.decode(bytes);
        String id = body == null ? "" : body.path(WireNames.NAME_ID).asText("");
        return JobSpec.isValidId(id) ? new Submission(id, body) : null;
    }

    /** Returns the id of the submitted job. */
    public String jobId() {
        return jobId;
    }

    /** Reads and validates the whole submission. */
    public JobSpec jobSpec() throws InvalidJobSpecException {
        return JobSpec.read(body);
    }
}
