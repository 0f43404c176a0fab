package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stileferry.protocol.JobSpec;

class ProvisioningTest {
    /**
     * Found in a recorded day: a new leader returned young machines, which the list did not show yet, with all their
     * tasks a few seconds after it took over.
     */
    @Test
    void aNewLeaderGivesUnlistedMachinesTimeToReport() {
        World w = new World(1);
        World.Node node = w.nodes.get("n0");
        node.start();
        World.SimOutside outside = node.outside;
        Board board = new Board(node.settings);
        Fleet fleet = new Fleet(board, outside, null, 1, null);
        Provisioning provisioning = new Provisioning(board, outside, fleet, 1);
        provisioning.list();
        w.play(1);
        Job job = new Job(new JobSpec("job-1", "any", "red", JobSpec.Kind.ARRAY, JobSpec.Priority.NORMAL, 1, 1, 0, 1, "img",
                1, null, null, false, false, true, 10, 0, 0, -1), 1, 0, 0);
        board.add(new Claim(job, 0, 1, "host-000099", 1, 0));
        w.play(4);
        provisioning.returnMachines(true);
        assertFalse(board.machine("host-000099").deleting, "it may report any moment");
        w.play(20);
        provisioning.returnMachines(true);
        assertTrue(board.machine("host-000099").deleting, "what neither list nor report shows must end some day");
    }
}
