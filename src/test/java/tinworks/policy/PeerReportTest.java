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

/** In-flight reports between the gateways of a large fleet, and their effect on where requests go. */
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

    /** A report of the same number of requests in flight at each of these servers. */
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

    private static boolean draws(GatewayFixture gateway, String server) {
        for (int i = 0; i < 200; i++) {
            if (server.equals(gateway.requestAndAnswer(READ, Outcome.SERVED, 10 * MS))) {
                return true;
            }
            gateway.now += 100 * MS;
            gateway.loadBalancer.onEvent(gateway.now, new PeerMessageReceived(2, message(3, server)));
        }
        return false;
    }

    /** A server of the gateway's subset, which it draws first where nothing else matters. */
    private static String ownServer() {
        return gateway(true).requestAndAnswer(READ, Outcome.SERVED, 10 * MS);
    }

    @Test
    void reportsInFlightCountsOnChangeAndPeriodically() {
        GatewayFixture gateway = gateway(true);
        String id = gateway.request(READ);
        String server = gateway.sentTo();
        gateway.fireTimer(SWEEP);
        assertEquals(1, gateway.recorder.peerMessages.size());
        assertArrayEquals(message(1, server), gateway.recorder.peerMessages.get(0));
        gateway.now += 30 * MS;
        gateway.fireTimer(SWEEP);
        assertEquals(1, gateway.recorder.peerMessages.size(), "nothing has changed");
        gateway.now += 250 * MS;
        gateway.fireTimer(SWEEP);
        assertEquals(2, gateway.recorder.peerMessages.size(), "a message may have been lost");
        gateway.now += 30 * MS;
        gateway.endAttempt(id, 0, server, Outcome.SERVED, 310 * MS);
        gateway.fireTimer(SWEEP);
        assertArrayEquals(message(0), gateway.recorder.peerMessages.get(2));
    }

    @Test
    void sendsNoReportIfMessagesAreNotPermitted() {
        GatewayFixture gateway = gateway(false);
        gateway.request(READ);
        gateway.fireTimer(SWEEP);
        assertEquals(0, gateway.recorder.peerMessages.size());
    }

    @Test
    void avoidsAServerWhereOtherGatewaysHaveEnoughInFlight() {
        String ownServer = ownServer();
        GatewayFixture gateway = gateway(true);
        gateway.loadBalancer.onEvent(gateway.now, new PeerMessageReceived(2, message(3, ownServer)));
        assertFalse(draws(gateway, ownServer), ownServer);
    }

    @Test
    void aNewReportReplacesThePreviousOne() {
        String ownServer = ownServer();
        GatewayFixture gateway = gateway(true);
        gateway.loadBalancer.onEvent(gateway.now, new PeerMessageReceived(2, message(3, ownServer)));
        gateway.loadBalancer.onEvent(gateway.now, new PeerMessageReceived(2, message(0)));
        assertEquals(ownServer, gateway.requestAndAnswer(READ, Outcome.SERVED, 10 * MS));
    }

    @Test
    void dropsTheReportOfAGatewayThatStoppedReporting() {
        String ownServer = ownServer();
        GatewayFixture gateway = gateway(true);
        gateway.loadBalancer.onEvent(gateway.now, new PeerMessageReceived(2, message(3, ownServer)));
        gateway.now += SECOND;
        gateway.fireTimer(SWEEP);
        assertEquals(ownServer, gateway.requestAndAnswer(READ, Outcome.SERVED, 10 * MS));
    }

    @Test
    void ignoresMalformedReports() {
        String ownServer = ownServer();
        byte[] other = message(3, ownServer);
        other[0] = 2;
        for (byte[] malformed :
                List.of(new byte[0], other, java.util.Arrays.copyOf(message(3, ownServer), 5), message(3, "unknown"))) {
            GatewayFixture gateway = gateway(true);
            gateway.loadBalancer.onEvent(gateway.now, new PeerMessageReceived(2, malformed));
            assertEquals(ownServer, gateway.requestAndAnswer(READ, Outcome.SERVED, 10 * MS));
        }
    }

    @Test
    void aReportNeverExceedsItsMaximumLength() {
        Settings s = settings(false, 2, List.of(), List.of(READ));
        GatewayFixture gateway = new GatewayFixture(s, 7).withServers(400);
        for (int i = 0; i < 300; i++) {
            gateway.now += 2 * MS;
            gateway.request(READ);
        }
        gateway.fireTimer(SWEEP);
        assertTrue(gateway.recorder.peerMessages.get(0).length > 200
                && gateway.recorder.peerMessages.get(0).length <= 256);
    }
}
