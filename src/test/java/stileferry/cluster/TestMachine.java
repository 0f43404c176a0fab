package stileferry.cluster;

import java.util.List;
import stileferry.protocol.Heartbeat;

/** Machines of tests that have no agents. */
public final class TestMachine {
    private TestMachine() {}

    /** The machine's agent has sent an empty status in its first incarnation. */
    public static void recordEmptyStatus(Machine machine, long now) {
        machine.agent()
                .recordStatus(
                        new Heartbeat(
                                machine.name(),
                                machine.address(),
                                machine.typeName(),
                                machine.zone(),
                                machine.spot(),
                                0,
                                0,
                                0,
                                -1,
                                List.of(),
                                null),
                        now);
    }
}
