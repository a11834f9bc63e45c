package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.policy.Fleet.MS;
import static tinworks.policy.Fleet.READ;
import static tinworks.policy.Fleet.SECOND;
import static tinworks.policy.Fleet.SWEEP;
import static tinworks.policy.Fleet.settings;

import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.PeerMessageReceived;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.Settings;

/** What the gateways of a large fleet tell each other, and what they make of it. */
class CrowdTest {
    private static Fleet gateway(boolean peers) {
        Settings s = settings(false, 4, List.of(), List.of(READ));
        return new Fleet(
                        new Settings(
                                4,
                                0,
                                s.zone(),
                                false,
                                s.timerResolutionNanos(),
                                s.classes(),
                                s.tenants(),
                                s.overQuotaValue(),
                                new Permissions(4, true, peers),
                                s.parameters()),
                        7)
                .with(8);
    }

    /** A message that so many requests are out at each of these servers. */
    private static byte[] message(int count, String... servers) {
        byte[] bytes = new byte[1 + 5 * servers.length];
        bytes[0] = 1;
        for (int i = 0; i < servers.length; i++) {
            java.nio.ByteBuffer.wrap(bytes, 1 + 5 * i, 5)
                    .putInt(InFlightReport.code(servers[i]))
                    .put((byte) count);
        }
        return bytes;
    }

    private static boolean draws(Fleet fleet, String server) {
        for (int i = 0; i < 200; i++) {
            if (server.equals(fleet.serve(READ, Outcome.SERVED, 10 * MS))) {
                return true;
            }
            fleet.now += 100 * MS;
            fleet.choice.onEvent(fleet.now, new PeerMessageReceived(2, message(3, server)));
        }
        return false;
    }

    /** One of the gateway's own portion, which it draws at once where nothing speaks against it. */
    private static String own() {
        return gateway(true).serve(READ, Outcome.SERVED, 10 * MS);
    }

    @Test
    void tellsWhatIsOutAndTellsItAgainOnlyWhenItHasChangedOrAfterAWhile() {
        Fleet fleet = gateway(true);
        String id = fleet.ask(READ);
        String server = fleet.sentTo();
        fleet.fire(SWEEP);
        assertEquals(1, fleet.host.told.size());
        assertArrayEquals(message(1, server), fleet.host.told.get(0));
        fleet.now += 30 * MS;
        fleet.fire(SWEEP);
        assertEquals(1, fleet.host.told.size(), "nothing has changed");
        fleet.now += 250 * MS;
        fleet.fire(SWEEP);
        assertEquals(2, fleet.host.told.size(), "a message may have been lost");
        fleet.now += 30 * MS;
        fleet.end(id, 0, server, Outcome.SERVED, 310 * MS);
        fleet.fire(SWEEP);
        assertArrayEquals(message(0), fleet.host.told.get(2));
    }

    @Test
    void saysNothingWhereTheSettingsAllowNoMessages() {
        Fleet fleet = gateway(false);
        fleet.ask(READ);
        fleet.fire(SWEEP);
        assertEquals(0, fleet.host.told.size());
    }

    @Test
    void passesOverAServerWhereOthersHaveEnoughOut() {
        String own = own();
        Fleet fleet = gateway(true);
        fleet.choice.onEvent(fleet.now, new PeerMessageReceived(2, message(3, own)));
        assertFalse(draws(fleet, own), own);
    }

    @Test
    void takesANewMessageInPlaceOfTheOneBefore() {
        String own = own();
        Fleet fleet = gateway(true);
        fleet.choice.onEvent(fleet.now, new PeerMessageReceived(2, message(3, own)));
        fleet.choice.onEvent(fleet.now, new PeerMessageReceived(2, message(0)));
        assertEquals(own, fleet.serve(READ, Outcome.SERVED, 10 * MS));
    }

    @Test
    void forgetsWhatAGatewaySaidThatHasGoneSilent() {
        String own = own();
        Fleet fleet = gateway(true);
        fleet.choice.onEvent(fleet.now, new PeerMessageReceived(2, message(3, own)));
        fleet.now += SECOND;
        fleet.fire(SWEEP);
        assertEquals(own, fleet.serve(READ, Outcome.SERVED, 10 * MS));
    }

    @Test
    void aSpoiltMessageTellsNothing() {
        String own = own();
        byte[] other = message(3, own);
        other[0] = 2;
        for (byte[] spoilt :
                List.of(new byte[0], other, java.util.Arrays.copyOf(message(3, own), 5), message(3, "unheard"))) {
            Fleet fleet = gateway(true);
            fleet.choice.onEvent(fleet.now, new PeerMessageReceived(2, spoilt));
            assertEquals(own, fleet.serve(READ, Outcome.SERVED, 10 * MS));
        }
    }

    @Test
    void aMessageIsNeverLongerThanIsAllowed() {
        Settings s = settings(false, 2, List.of(), List.of(READ));
        Fleet fleet = new Fleet(s, 7).with(400);
        for (int i = 0; i < 300; i++) {
            fleet.now += 2 * MS;
            fleet.ask(READ);
        }
        fleet.fire(SWEEP);
        assertTrue(fleet.host.told.get(0).length > 200 && fleet.host.told.get(0).length <= 256);
    }
}
