package stileferry.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * The fields of a submission by which load shedding decides. They are read without building a tree of the body, because
 * under overload most submissions are rejected by these fields alone.
 *
 * @param id the job's id, which has a valid form
 * @param team the team's name
 * @param jobClass the class of the job
 * @param priority the job's priority
 */
public record SubmissionHeader(String id, String team, String jobClass, JobSpec.Priority priority) {

    /** Reads the header from an encoded body; returns null if the part of the body that is parsed is malformed. */
    public static SubmissionHeader read(byte[] body) {
        try (JsonParser parser = MessageCodec.parser(body)) {
            return parser.nextToken() == JsonToken.START_OBJECT ? read(parser) : null;
        } catch (IOException | RuntimeException e) { // broad catch: the parser throws both for malformed input
            return null;
        }
    }

    /** Returns whether an encoded submission is valid as far as its header goes and has the highest priority. */
    public static boolean isCritical(byte[] body) {
        SubmissionHeader header = read(body);
        return header != null && header.priority() == JobSpec.Priority.CRITICAL;
    }

    private static SubmissionHeader read(JsonParser parser) throws IOException {
        String id = null;
        String team = null;
        String jobClass = null;
        JobSpec.Priority priority = null;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            boolean isText = parser.nextToken() == JsonToken.VALUE_STRING;
            switch (name) {
                case WireNames.NAME_ID -> id = isText ? parser.getText() : null;
                case WireNames.TEAM -> team = isText ? parser.getText() : null;
                case WireNames.JOB_CLASS -> jobClass = isText ? parser.getText() : null;
                case WireNames.PRIORITY -> priority = isText ? JobSpec.Priority.of(parser.getText()) : null;
                default -> parser.skipChildren();
            }
        }
        boolean complete = id != null && team != null && jobClass != null && priority != null;
        return complete && JobSpec.isValidId(id) ? new SubmissionHeader(id, team, jobClass, priority) : null;
    }
}
