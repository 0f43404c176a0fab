package stileferry.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A submission whose job id has been read, which is enough to recognise an idempotent request. All else is read and
 * checked by {@link #jobSpec()}.
 */
public final class Submission {
    private final String jobId;
    private final JsonNode body;

    private Submission(String jobId, JsonNode body) {
        this.jobId = jobId;
        this.body = body;
    }

    /** Reads the id of a submission's job; null when the body is not a map with a valid one. */
    public static Submission read(byte[] bytes) {
        JsonNode body = MessageCodec.decode(bytes);
        String id = body == null ? "" : body.path(WireNames.NAME_ID).asText("");
        return JobSpec.isValidId(id) ? new Submission(id, body) : null;
    }

    /** The id of the submitted job. */
    public String jobId() {
        return jobId;
    }

    /** Reads and checks the whole of it. */
    public JobSpec jobSpec() throws InvalidJobSpecException {
        return JobSpec.read(body);
    }
}
