package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stileferry.golden.ScriptedCluster.USERS;
import static stileferry.golden.ScriptedCluster.assertUserResponse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Pins the exact bytes of responses to users; {@link GoldenHttpTest} covers the HTTP headers and routing. */
class GoldenUserMessagesTest {
    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

    private final ScriptedCluster cluster = new ScriptedCluster();

    /** Returns the literal submission with one field replaced, or removed if the value is null. */
    private static byte[] submissionWith(String field, JsonNode value) throws Exception {
        ObjectNode submission = (ObjectNode) MESSAGE_PACK.readTree(USERS.body("submission"));
        submission.remove(field);
        if (value != null) {
            submission.set(field, value);
        }
        return MESSAGE_PACK.writeValueAsBytes(submission);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "submission",
                "service submission",
                "gang submission",
                "idle submission without optional fields",
                "submission for ordinary machines"
            })
    void repeatedSubmissionIsAnsweredWithTheJobState(String submission) {
        cluster.startLeader();
        assertUserResponse("accepted", cluster.submit(submission));
        assertUserResponse("pending", cluster.submit(submission));
        assertUserResponse("pending", cluster.status());
    }

    @Test
    void repeatedSubmissionOfAKnownIdIsNotValidatedAgain() throws Exception {
        cluster.startLeader().submit("submission");
        assertUserResponse("pending", cluster.submit(submissionWith("crew", null)));
    }

    @Test
    void statusOfARunningJobCountsItsRunningTasks() {
        assertUserResponse("running", cluster.startLeaderWithRunningTasks().status());
    }

    @Test
    void jobIsDoneWhenAllItsTasksAreAndCannotBeCancelledAfterwards() {
        cluster.startLeaderWithRunningTasks().heartbeat("heartbeat, one done");
        assertUserResponse("one done and one running", cluster.status());
        cluster.heartbeat("heartbeat, both still done");
        assertUserResponse("done", cluster.status());
        assertUserResponse("done", cluster.cancel());
        assertUserResponse("done", cluster.submit("submission"));
    }

    @Test
    void cancelledJobStaysCancelled() {
        cluster.startLeader().submit("submission");
        assertUserResponse("cancelled", cluster.cancel());
        assertUserResponse("cancelled", cluster.cancel());
        assertUserResponse("cancelled", cluster.status());
        assertUserResponse("cancelled", cluster.submit("submission"));
    }

    @Test
    void jobIsCancelledBeforeItsRunningTasksHaveStopped() {
        assertUserResponse("cancelled", cluster.startLeaderWithRunningTasks().cancel());
        assertUserResponse("cancelled", cluster.status());
    }

    @Test
    void jobThatWasNeverSubmittedIsUnknown() {
        cluster.startLeader();
        assertUserResponse("unknown job", cluster.status());
        assertUserResponse("unknown job", cluster.cancel());
    }

    @Test
    void usersAreToldToRetryWhileThereIsNoLeader() {
        cluster.storeResponds("GET /kv?starts=a/&most=500", "unavailable");
        cluster.startLeader();
        assertUserResponse("no leader", cluster.submit("submission"));
        assertUserResponse("no leader", cluster.status());
        assertUserResponse("no leader", cluster.cancel());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "berth",
                "crew",
                "craft",
                "precedence",
                "passengers",
                "cores",
                "gpus",
                "ram_gb",
                "cargo",
                "pull_gb",
                "same_place",
                "apart",
                "tender",
                "crossing_s",
                "waypoint_s",
                "stow_s"
            })
    void submissionWithoutARequiredFieldIsRejectedNamingTheField(String field) throws Exception {
        assertUserResponse("invalid " + field, cluster.startLeader().submit(submissionWith(field, null)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"hulls", "harbor", "moor_by_s"})
    void optionalFieldOfTheWrongTypeIsRejectedNamingTheField(String field) throws Exception {
        JsonNode invalid = field.equals("moor_by_s") ? TextNode.valueOf("soon") : MESSAGE_PACK.readTree(new byte[] {5});
        assertUserResponse("invalid " + field, cluster.startLeader().submit(submissionWith(field, invalid)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"craft", "precedence"})
    void unknownEnumValueIsRejectedNamingTheField(String field) throws Exception {
        assertUserResponse(
                "unknown " + field, cluster.startLeader().submit(submissionWith(field, TextNode.valueOf("odd"))));
    }

    @Test
    void submissionWithoutAValidIdIsRejected() throws Exception {
        cluster.startLeader();
        String expected = "not MessagePack or no valid id";
        assertUserResponse(expected, cluster.submit(submissionWith("name_id", null)));
        assertUserResponse(expected, cluster.submit(submissionWith("name_id", TextNode.valueOf("task-1"))));
        assertUserResponse(expected, cluster.submit(new byte[] {(byte) 0xc1}));
        assertUserResponse(expected, cluster.submit(new byte[] {(byte) 0x90}));
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '"',
            value = {
                "submission of an unknown team,unknown team",
                "submission with too many cores,fits no machine type",
                "submission with too many gpus,fits no machine type",
                "submission with too much memory,fits no machine type",
                "submission for another machine type,fits no machine type",
                "submission for a zone without machines,fits no machine type",
                "service beyond its team's limit,beyond the limit",
                "gang that must spread in one zone,can not run together",
                "submission that is too large,too large to keep"
            })
    void submissionThatCanNeverRunIsRejectedWithTheReason(String submission, String response) {
        assertUserResponse(response, cluster.startLeader().submit(submission));
    }

    @Test
    void goldenSubmissionHasAllFieldsOfTheProtocol() throws Exception {
        assertEquals(20, MESSAGE_PACK.readTree(USERS.body("submission")).size());
    }
}
