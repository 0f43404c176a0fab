package stileferry.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stileferry.golden.ScriptedCluster.CLOUD;
import static stileferry.golden.ScriptedCluster.WORKERS;
import static stileferry.golden.ScriptedCluster.assertUserResponse;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stileferry.golden.RecordingEnvironment.SentRequest;
import stileferry.protocol.CloudMessages;
import stileferry.protocol.MachineType;
import stileferry.protocol.MessageCodec;

/** Pins the exact bytes of the requests to the cloud, and how the controller interprets the responses. */
class GoldenCloudMessagesTest {
    private static final String MACHINE_TYPES_REQUEST = "GET /machine_types";
    private static final String LIST_REQUEST = "GET /hosts?most=500";
    private static final String NEXT_PAGE_REQUEST = "GET /hosts?most=500&from=host-000231";
    private static final String RENT_REQUEST = "POST /hosts";
    private static final String DELETE_REQUEST = "POST /hosts/delete";

    private final ScriptedCluster cluster = new ScriptedCluster();

    private void assertSent(String name, SentRequest sent) {
        ScriptedCluster.assertRequest(CLOUD, name, SimulatedController.CLOUD_ADDRESS, sent);
    }

    private SentRequest awaitSent(String line, int count) {
        return cluster.environment.awaitRequest(line, count, 12_000);
    }

    private void submitAndAwaitRental(String submission) {
        cluster.startLeader().submit(submission);
        awaitSent(RENT_REQUEST, 1);
    }

    @Test
    void machineTypesAreRequestedAndParsed() {
        cluster.startLeader();
        assertSent("machine types read", awaitSent(MACHINE_TYPES_REQUEST, 1));
        assertEquals(
                List.of(
                        new MachineType("g8", 96, 8, 768, 200, 1.5, 12, 4.5, 45, List.of("a", "b")),
                        new MachineType("m4", 16, 0, 64, 100, 0.5, 2, 5, 30, List.of("b"))),
                MachineType.readAll(MessageCodec.decode(CLOUD.body("two machine types"))));
    }

    @Test
    void submissionsAreRejectedUntilTheMachineTypesAreKnown() {
        cluster.cloudResponds(MACHINE_TYPES_REQUEST, "trouble", "machine types");
        cluster.startLeader();
        assertUserResponse("no leader", cluster.submit("submission"));
        awaitSent(MACHINE_TYPES_REQUEST, 2);
        assertUserResponse("accepted", cluster.submit("submission"));
    }

    @Test
    void machineIsRentedForPendingWork() {
        cluster.cloudResponds(RENT_REQUEST, "rented");
        submitAndAwaitRental("submission");
        assertSent("rental", awaitSent(RENT_REQUEST, 1));
        cluster.environment.advance(10_000);
        assertEquals(
                1,
                cluster.environment.sentRequests(RENT_REQUEST).size(),
                "the rented machine counts as capacity, so no second one is rented");
    }

    @Test
    void onDemandMachineTypeIsChosenByItsOnDemandPrice() {
        cluster.cloudResponds(MACHINE_TYPES_REQUEST, "two machine types");
        submitAndAwaitRental("submission for ordinary machines of any type");
        assertSent("ordinary rental", awaitSent(RENT_REQUEST, 1));
    }

    @Test
    void unansweredRentalIsRepeatedUnchanged() {
        submitAndAwaitRental("submission");
        assertSent("rental", awaitSent(RENT_REQUEST, 2));
    }

    @Test
    void rentalWithoutCapacityIsRetriedInAnotherZoneUnderANewId() {
        cluster.cloudResponds(RENT_REQUEST, "no capacity");
        submitAndAwaitRental("submission");
        assertSent("rental in another zone", awaitSent(RENT_REQUEST, 2));
    }

    @Test
    void rentalThatTheCloudFailsIsRepeatedUnchanged() {
        cluster.cloudResponds(RENT_REQUEST, "trouble");
        submitAndAwaitRental("submission");
        assertSent("rental", awaitSent(RENT_REQUEST, 2));
    }

    @Test
    void rentalRejectedAsMalformedIsNotRepeated() {
        cluster.cloudResponds(RENT_REQUEST, "malformed");
        submitAndAwaitRental("submission");
        assertSent("second rental", awaitSent(RENT_REQUEST, 2));
    }

    @Test
    void machineListIsReadInPages() {
        cluster.cloudResponds(LIST_REQUEST, "list, first page");
        cluster.cloudResponds(NEXT_PAGE_REQUEST, "list, last page");
        cluster.startLeader();
        assertSent("list read", awaitSent(LIST_REQUEST, 1));
        assertSent("list read, next page", awaitSent(NEXT_PAGE_REQUEST, 1));
        assertEquals(
                List.of(new CloudMessages.ListedMachine(
                        "host-000231", "10.1.0.232:9000", "g8", "a", true, "running", 61.5)),
                CloudMessages.listedMachines(MessageCodec.decode(CLOUD.body("list, first page"))));
    }

    @Test
    void listedMachinesReceiveATokenAnnouncement() {
        cluster.cloudResponds(LIST_REQUEST, "list, first page");
        cluster.cloudResponds(NEXT_PAGE_REQUEST, "list, last page");
        cluster.startLeader();
        List<SentRequest> announcements = cluster.environment.sentRequests("POST /commands");
        assertEquals(
                List.of("10.1.0.232:9000", "10.1.0.233:9000"),
                announcements.stream().map(SentRequest::address).toList());
        ScriptedCluster.assertRequest(
                WORKERS, "token announcement", ScriptedCluster.WORKER_ADDRESS, announcements.get(0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"deleted", "trouble"})
    void deletionOfAFailedMachineIsRepeatedUntilConfirmed(String response) {
        cluster.cloudResponds(LIST_REQUEST, "list, first page");
        cluster.cloudResponds(NEXT_PAGE_REQUEST, "list, last page");
        cluster.cloudResponds(DELETE_REQUEST, response);
        cluster.startLeader();
        assertSent("deletion", awaitSent(DELETE_REQUEST, 1));
        cluster.environment.advance(1500);
        assertEquals(
                response.equals("deleted"),
                cluster.environment.sentRequests(DELETE_REQUEST).size() == 1);
    }

    @Test
    void bootingMachineCountsAsCapacityButSilentRunningMachineDoesNot() {
        cluster.cloudResponds(LIST_REQUEST, "list, first page");
        cluster.cloudResponds(NEXT_PAGE_REQUEST, "list, empty");
        submitAndAwaitRental("submission");
        assertTrue(cluster.environment.sentRequests(RENT_REQUEST).size() > 0);
        ScriptedCluster booting = new ScriptedCluster();
        booting.cloudResponds(LIST_REQUEST, "list, one boots");
        booting.startLeader().submit("submission");
        booting.environment.advance(6000);
        assertEquals(0, booting.environment.sentRequests(RENT_REQUEST).size());
    }
}
