package stileferry.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import stileferry.protocol.InvalidOperatorSettingException;
import stileferry.protocol.MessageCodec;
import stileferry.protocol.OperatorSettings;
import stileferry.protocol.PeerMessage;

/** Tests operator settings: validation, storage and distribution to the controllers. */
class OperatorSettingsTest {
    @Test
    void aChangeIsAtomic() throws InvalidOperatorSettingException {
        OperatorSettings changed = OperatorSettings.defaults()
                .withChanges(MessageCodec.map().put("spot_share", 0.5).put("preemption", false));
        assertEquals(1, changed.revision());
        assertEquals(0.5, changed.number(OperatorSettings.SPOT_SHARE));
        assertFalse(changed.flag(OperatorSettings.PREEMPTION));
        ObjectNode partlyInvalid = MessageCodec.map().put("spot_share", 0.7).put("preemption", "maybe");
        assertTrue(assertThrows(InvalidOperatorSettingException.class, () -> changed.withChanges(partlyInvalid))
                .getMessage()
                .startsWith("preemption:"));
        assertEquals(0.5, changed.number(OperatorSettings.SPOT_SHARE));
        OperatorSettings read = OperatorSettings.read(MessageCodec.decode(MessageCodec.encode(changed.write())));
        assertEquals(changed.describe(), read.describe());
        assertEquals(
                1.0,
                read.reset(MessageCodec.map().putArray("names").add("spot_share"))
                        .number(OperatorSettings.SPOT_SHARE));
    }

    @Test
    void invalidStoredValuesFallBackToDefaults() {
        ObjectNode stored = MessageCodec.map().put("revision", 4);
        stored.putObject("values").put("idle_boots", "x").put("gone", 1).put("spare_share", 0.2);
        OperatorSettings read = OperatorSettings.read(stored);
        assertEquals(4, read.revision());
        assertEquals(2, read.number(OperatorSettings.IDLE_BOOTS));
        assertEquals(0.2, read.number(OperatorSettings.SPARE_SHARE));
    }

    /** A change takes effect at every controller without a restart, and persists after all of them have crashed. */
    @Test
    void settingsReachAllControllersAndSurviveRestarts() {
        SimulatedCluster cluster = new SimulatedCluster(9);
        cluster.runFor(5);
        ObjectNode body = MessageCodec.map().put("revision", 0);
        body.putObject("change").put("log_level", "debug").put("spare_share", 0.4);
        PeerMessage.Response[] response = new PeerMessage.Response[1];
        ControllerNode changedAt = cluster.controllers.get("n1");
        changedAt.environment.execute(() -> changedAt.coordinator.handleAdministrationRequest(
                "POST", "settings", MessageCodec.encode(body), received -> response[0] = received));
        cluster.runFor(2);
        assertEquals(200, response[0].status());
        cluster.controllers.values().forEach(n -> assertEquals("debug", n.environment.logLevel, n.name()));
        cluster.controllers.values().forEach(ControllerNode::crash);
        cluster.runFor(1);
        cluster.controllers.values().forEach(ControllerNode::start);
        cluster.runFor(12);
        cluster.controllers.values().forEach(n -> assertEquals("debug", n.environment.logLevel, n.name()));
        ControllerNode asked = cluster.controllers.get("n2");
        asked.environment.execute(() -> asked.coordinator.handleAdministrationRequest(
                "GET", "settings", new byte[0], received -> response[0] = received));
        cluster.runFor(1);
        assertEquals(1, MessageCodec.decode(response[0].body()).path("revision").asLong());
        cluster.faults.storeDown = true;
        cluster.runFor(6);
        asked.environment.execute(() -> asked.coordinator.handleAdministrationRequest(
                "GET", "settings", new byte[0], received -> response[0] = received));
        cluster.runFor(5);
        assertEquals(503, response[0].status(), "no settings are returned while no controller is sure to lead");
    }
}
