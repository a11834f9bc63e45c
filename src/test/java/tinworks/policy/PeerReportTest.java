package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.policy.GatewayFixture.MS;
import static tinworks.policy.GatewayFixture.READ;
import static tinworks.policy.GatewayFixture.SECOND;
import static tinworks.policy.GatewayFixture.SWEEP;
import static tinworks.policy.GatewayFixture.settings;

import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.PeerMessageReceived;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.Settings;

/** What the gateways of a large fleet tell each other, and what they make of it. */
class PeerReportTest {
    private static GatewayFixture gateway(boolean peers) {
        Settings s = settings(false, 4, List.of(), List.of(READ));
        return new GatewayFixture(
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
                .withServers(8);
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

    private static boolean draws(GatewayFixture fleet, String server) {
        for (int i = 0; i < 200; i++) {
            if (server.equals(fleet.requestAndAnswer(READ, Outcome.SERVED, 10 * MS))) {
                return true;
            }
            fleet.now += 100 * MS;
            fleet.loadBalancer.onEvent(fleet.now, new PeerMessageReceived(2, message(3, server)));
        }
        return false;
    }

    /** One of the gateway's own portion, which it draws at once where nothing speaks against it. */
    private static String own() {
        return gateway(true).requestAndAnswer(READ, Outcome.SERVED, 10 * MS);
    }

    @Test
    void tellsWhatIsOutAndTellsItAgainOnlyWhenItHasChangedOrAfterAWhile() {
        GatewayFixture fleet = gateway(true);
        String id = fleet.request(READ);
        String server = fleet.sentTo();
        fleet.fireTimer(SWEEP);
        assertEquals(1, fleet.recorder.peerMessages.size());
        assertArrayEquals(message(1, server), fleet.recorder.peerMessages.get(0));
        fleet.now += 30 * MS;
        fleet.fireTimer(SWEEP);
        assertEquals(1, fleet.recorder.peerMessages.size(), "nothing has changed");
        fleet.now += 250 * MS;
        fleet.fireTimer(SWEEP);
        assertEquals(2, fleet.recorder.peerMessages.size(), "a message may have been lost");
        fleet.now += 30 * MS;
        fleet.endAttempt(id, 0, server, Outcome.SERVED, 310 * MS);
        fleet.fireTimer(SWEEP);
        assertArrayEquals(message(0), fleet.recorder.peerMessages.get(2));
    }

    @Test
    void saysNothingWhereTheSettingsAllowNoMessages() {
        GatewayFixture fleet = gateway(false);
        fleet.request(READ);
        fleet.fireTimer(SWEEP);
        assertEquals(0, fleet.recorder.peerMessages.size());
    }

    @Test
    void passesOverAServerWhereOthersHaveEnoughOut() {
        String own = own();
        GatewayFixture fleet = gateway(true);
        fleet.loadBalancer.onEvent(fleet.now, new PeerMessageReceived(2, message(3, own)));
        assertFalse(draws(fleet, own), own);
    }

    @Test
    void takesANewMessageInPlaceOfTheOneBefore() {
        String own = own();
        GatewayFixture fleet = gateway(true);
        fleet.loadBalancer.onEvent(fleet.now, new PeerMessageReceived(2, message(3, own)));
        fleet.loadBalancer.onEvent(fleet.now, new PeerMessageReceived(2, message(0)));
        assertEquals(own, fleet.requestAndAnswer(READ, Outcome.SERVED, 10 * MS));
    }

    @Test
    void forgetsWhatAGatewaySaidThatHasGoneSilent() {
        String own = own();
        GatewayFixture fleet = gateway(true);
        fleet.loadBalancer.onEvent(fleet.now, new PeerMessageReceived(2, message(3, own)));
        fleet.now += SECOND;
        fleet.fireTimer(SWEEP);
        assertEquals(own, fleet.requestAndAnswer(READ, Outcome.SERVED, 10 * MS));
    }

    @Test
    void aSpoiltMessageTellsNothing() {
        String own = own();
        byte[] other = message(3, own);
        other[0] = 2;
        for (byte[] spoilt :
                List.of(new byte[0], other, java.util.Arrays.copyOf(message(3, own), 5), message(3, "unheard"))) {
            GatewayFixture fleet = gateway(true);
            fleet.loadBalancer.onEvent(fleet.now, new PeerMessageReceived(2, spoilt));
            assertEquals(own, fleet.requestAndAnswer(READ, Outcome.SERVED, 10 * MS));
        }
    }

    @Test
    void aMessageIsNeverLongerThanIsAllowed() {
        Settings s = settings(false, 2, List.of(), List.of(READ));
        GatewayFixture fleet = new GatewayFixture(s, 7).withServers(400);
        for (int i = 0; i < 300; i++) {
            fleet.now += 2 * MS;
            fleet.request(READ);
        }
        fleet.fireTimer(SWEEP);
        assertTrue(fleet.recorder.peerMessages.get(0).length > 200 && fleet.recorder.peerMessages.get(0).length <= 256);
    }
}
