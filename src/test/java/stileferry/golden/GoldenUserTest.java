package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stileferry.golden.ScriptedCluster.USERS;
import static stileferry.golden.ScriptedCluster.assertToUser;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Answers to users as the exact bytes; what goes over HTTP around them is in {@link GoldenHttpTest}. */
class GoldenUserTest {
    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

    private final ScriptedCluster cluster = new ScriptedCluster();

    /** The literal submission with one field replaced, or left out for null. */
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
    void aSubmissionIsAcceptedOnceAndARepeatedOneIsAnsweredWithTheJobsState(String submission) {
        cluster.lead();
        assertToUser("accepted", cluster.submit(submission));
        assertToUser("pending", cluster.submit(submission));
        assertToUser("pending", cluster.status());
    }

    @Test
    void aRepeatedSubmissionOfAKnownIdIsNotCheckedAgain() throws Exception {
        cluster.lead().submit("submission");
        assertToUser("pending", cluster.submit(submissionWith("crew", null)));
    }

    @Test
    void aRunningJobIsAnsweredWithTheNumberOfItsRunningTasks() {
        assertToUser("running", cluster.leadWithRunningTasks().status());
    }

    @Test
    void aJobIsDoneWhenAllItsTasksAreAndAWithdrawalDoesNotChangeThat() {
        cluster.leadWithRunningTasks().heartbeat("heartbeat, one done");
        assertToUser("one done and one running", cluster.status());
        cluster.heartbeat("heartbeat, both still done");
        assertToUser("done", cluster.status());
        assertToUser("done", cluster.withdraw());
        assertToUser("done", cluster.submit("submission"));
    }

    @Test
    void aWithdrawnJobIsCancelledForGood() {
        cluster.lead().submit("submission");
        assertToUser("cancelled", cluster.withdraw());
        assertToUser("cancelled", cluster.withdraw());
        assertToUser("cancelled", cluster.status());
        assertToUser("cancelled", cluster.submit("submission"));
    }

    @Test
    void aWithdrawnJobWithRunningTasksIsCancelledBeforeTheyAreGone() {
        assertToUser("cancelled", cluster.leadWithRunningTasks().withdraw());
        assertToUser("cancelled", cluster.status());
    }

    @Test
    void aJobThatNobodySubmittedIsUnknown() {
        cluster.lead();
        assertToUser("unknown job", cluster.status());
        assertToUser("unknown job", cluster.withdraw());
    }

    @Test
    void usersAreToldToRetryWhileNobodyLeads() {
        cluster.stateAnswers("GET /kv?starts=a/&most=500", "unavailable");
        cluster.lead();
        assertToUser("no leader", cluster.submit("submission"));
        assertToUser("no leader", cluster.status());
        assertToUser("no leader", cluster.withdraw());
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
    void aSubmissionWithoutARequiredFieldIsRefusedByTheFieldsName(String field) throws Exception {
        assertToUser("invalid " + field, cluster.lead().submit(submissionWith(field, null)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"hulls", "harbor", "moor_by_s"})
    void anOptionalFieldOfTheWrongKindIsRefusedByTheFieldsName(String field) throws Exception {
        JsonNode wrong = field.equals("moor_by_s") ? TextNode.valueOf("soon") : MESSAGE_PACK.readTree(new byte[] {5});
        assertToUser("invalid " + field, cluster.lead().submit(submissionWith(field, wrong)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"craft", "precedence"})
    void anUnknownWordIsRefusedByTheFieldsName(String field) throws Exception {
        assertToUser("unknown " + field, cluster.lead().submit(submissionWith(field, TextNode.valueOf("odd"))));
    }

    @Test
    void aSubmissionWithoutAValidIdIsRefused() throws Exception {
        cluster.lead();
        String expected = "not MessagePack or no valid id";
        assertToUser(expected, cluster.submit(submissionWith("name_id", null)));
        assertToUser(expected, cluster.submit(submissionWith("name_id", TextNode.valueOf("task-1"))));
        assertToUser(expected, cluster.submit(new byte[] {(byte) 0xc1}));
        assertToUser(expected, cluster.submit(new byte[] {(byte) 0x90}));
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
    void aSubmissionThatCanNeverRunIsRefusedWithItsReason(String submission, String answer) {
        assertToUser(answer, cluster.lead().submit(submission));
    }

    @Test
    void theLiteralSubmissionsHaveAllFieldsOfTheProtocol() throws Exception {
        assertEquals(20, MESSAGE_PACK.readTree(USERS.body("submission")).size());
    }
}
