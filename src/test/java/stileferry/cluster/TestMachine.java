package stileferry.cluster;

import java.util.List;
import stileferry.protocol.Heartbeat;

/** Sets the state of machines in tests that do not simulate agents. */
public final class TestMachine {
    private TestMachine() {}

    /** Records an empty status from the machine's agent, with incarnation 0. */
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
                        1,
                        now);
    }
}
