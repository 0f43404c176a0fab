package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.golden.ScriptedCluster.CLOUD;
import static stileferry.golden.ScriptedCluster.WORKERS;
import static stileferry.golden.ScriptedCluster.assertToUser;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.golden.RecordingEnvironment.Sent;
import stileferry.protocol.CloudMessages;
import stileferry.protocol.MachineType;
import stileferry.protocol.MessageCodec;

/** What the controller asks of the cloud, and what it reads in the answers, as the exact bytes on the wire. */
class GoldenCloudTest {
    private static final String TYPES = "GET /machine_types";
    private static final String LIST = "GET /hosts?most=500";
    private static final String NEXT_PAGE = "GET /hosts?most=500&from=host-000231";
    private static final String RENT = "POST /hosts";
    private static final String DELETE = "POST /hosts/delete";

    private final ScriptedCluster cluster = new ScriptedCluster();

    private void assertSent(String name, Sent sent) {
        ScriptedCluster.assertSent(CLOUD, name, SimulatedController.CLOUD, sent);
    }

    private Sent awaitSent(String line, int count) {
        return cluster.environment.awaitSent(line, count, 12_000);
    }

    private void submitAndWait(String submission) {
        cluster.lead().submit(submission);
        awaitSent(RENT, 1);
    }

    @Test
    void machineTypesAreAskedForAndRead() {
        cluster.lead();
        assertSent("machine types read", awaitSent(TYPES, 1));
        assertEquals(
                List.of(
                        new MachineType("g8", 96, 8, 768, 200, 1.5, 12, 4.5, 45, List.of("a", "b")),
                        new MachineType("m4", 16, 0, 64, 100, 0.5, 2, 5, 30, List.of("b"))),
                MachineType.readAll(MessageCodec.decode(CLOUD.body("two machine types"))));
    }

    @Test
    void submissionsAreNotAcceptedUntilTheMachineTypesAreKnown() {
        cluster.cloudAnswers(TYPES, "trouble", "machine types");
        cluster.lead();
        assertToUser("no leader", cluster.submit("submission"));
        awaitSent(TYPES, 2);
        assertToUser("accepted", cluster.submit("submission"));
    }

    @Test
    void aMachineIsRentedForWorkThatWaits() {
        cluster.cloudAnswers(RENT, "rented");
        submitAndWait("submission");
        assertSent("rental", awaitSent(RENT, 1));
        cluster.environment.play(10_000);
        assertEquals(1, cluster.environment.sent(RENT).size(), "the rented machine is counted on");
    }

    @Test
    void anOrdinaryMachineIsRentedByItsRate() {
        cluster.cloudAnswers(TYPES, "two machine types");
        submitAndWait("submission for ordinary machines of any type");
        assertSent("ordinary rental", awaitSent(RENT, 1));
    }

    @Test
    void anUnansweredRentalIsRepeatedAsItIs() {
        submitAndWait("submission");
        assertSent("rental", awaitSent(RENT, 2));
    }

    @Test
    void aRentalRefusedForCapacityIsTriedInAnotherZoneUnderAnotherName() {
        cluster.cloudAnswers(RENT, "no capacity");
        submitAndWait("submission");
        assertSent("rental in another zone", awaitSent(RENT, 2));
    }

    @Test
    void aRentalThatMetTroubleIsRepeatedAsItIs() {
        cluster.cloudAnswers(RENT, "trouble");
        submitAndWait("submission");
        assertSent("rental", awaitSent(RENT, 2));
    }

    @Test
    void aMalformedRentalIsNotRepeated() {
        cluster.cloudAnswers(RENT, "malformed");
        submitAndWait("submission");
        assertSent("second rental", awaitSent(RENT, 2));
    }

    @Test
    void theListIsReadInPages() {
        cluster.cloudAnswers(LIST, "list, first page");
        cluster.cloudAnswers(NEXT_PAGE, "list, last page");
        cluster.lead();
        assertSent("list read", awaitSent(LIST, 1));
        assertSent("list read, next page", awaitSent(NEXT_PAGE, 1));
        assertEquals(
                List.of(new CloudMessages.ListedMachine(
                        "host-000231", "10.1.0.232:9000", "g8", "a", true, "running", 61.5)),
                CloudMessages.listedMachines(MessageCodec.decode(CLOUD.body("list, first page"))));
    }

    @Test
    void listedMachinesAreGreetedAtTheirAddresses() {
        cluster.cloudAnswers(LIST, "list, first page");
        cluster.cloudAnswers(NEXT_PAGE, "list, last page");
        cluster.lead();
        List<Sent> greetings = cluster.environment.sent("POST /commands");
        assertEquals(
                List.of("10.1.0.232:9000", "10.1.0.233:9000"),
                greetings.stream().map(Sent::address).toList());
        ScriptedCluster.assertSent(WORKERS, "token announcement", ScriptedCluster.WORKER, greetings.get(0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"deleted", "trouble"})
    void aFailedMachineIsDeletedUntilThatIsConfirmed(String answer) {
        cluster.cloudAnswers(LIST, "list, first page");
        cluster.cloudAnswers(NEXT_PAGE, "list, last page");
        cluster.cloudAnswers(DELETE, answer);
        cluster.lead();
        assertSent("deletion", awaitSent(DELETE, 1));
        cluster.environment.play(1500);
        assertEquals(answer.equals("deleted"), cluster.environment.sent(DELETE).size() == 1);
    }

    @Test
    void aBootingMachineIsCountedOnAndARunningOneThatDoesNotReportIsNot() {
        cluster.cloudAnswers(LIST, "list, first page");
        cluster.cloudAnswers(NEXT_PAGE, "list, empty");
        submitAndWait("submission");
        assertTrue(cluster.environment.sent(RENT).size() > 0);
        ScriptedCluster booting = new ScriptedCluster();
        booting.cloudAnswers(LIST, "list, one boots");
        booting.lead().submit("submission");
        booting.environment.play(6000);
        assertEquals(0, booting.environment.sent(RENT).size());
    }
}
