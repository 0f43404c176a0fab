package stileferry.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * What tells who submits a job and how urgent it is. It is read without building a tree of the body, since most
 * submissions under overload are refused by it.
 *
 * @param id the job's id, of the form that users may choose
 * @param team the team's name
 * @param jobClass the class of the job
 * @param priority the job's priority
 */
public record SubmissionHeader(String id, String team, String jobClass, JobSpec.Priority priority) {

    /** Reads the header of a submission; null when the body is malformed, as far as it is looked at. */
    public static SubmissionHeader read(byte[] body) {
        try (JsonParser parser = MessageCodec.parser(body)) {
            return parser.nextToken() == JsonToken.START_OBJECT ? read(parser) : null;
        } catch (IOException | RuntimeException e) { // broad catch: thrown for malformed input
            return null;
        }
    }

    /** Whether a submission is of the highest priority. */
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
