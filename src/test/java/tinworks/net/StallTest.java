package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import tinworks.net.GatewayFixture.Client;

/** A stall of the gateway's event loop while host responses wait to be read must not count as host latency. */
class StallTest {
    private static final int CLIENTS = 12;
    /** With latency targets a tenth of the fixture's, responses count as late after half a second. */
    private static final String SETTINGS = GatewayFixture.SETTINGS
            .replace("IDLE", "60000000000")
            .replace("\"aim_ns\":10000000000", "\"aim_ns\":1000000000");

    /** The gateway knows its request rate after a full second; with little traffic it sheds no load. */
    private static final long NORMAL_TRAFFIC_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private static final long STALL_MILLIS = 1_500;
    /** On a busy machine the network path to the hosts alone may take half a second, apart from the stall. */
    private static final int ROUNDS = 3;

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private volatile CountDownLatch responsesReleased = new CountDownLatch(0);
    private int sent;

    @Test
    void ownStallIsNotBlamedOnHostsAndRefusesNoRequest() throws Exception {
        List<String> refused = List.of();
        for (int round = 0; round < ROUNDS && (round == 0 || !refused.isEmpty()); round++) {
            try (ScriptedHost host = new ScriptedHost((socket, request) -> {
                        await(responsesReleased);
                        ScriptedHost.write(socket, RESPONSE);
                    });
                    GatewayFixture fixture = new GatewayFixture(
                            GatewayFixture.list(1, true, entries(host)),
                            GatewayFixture.quietDiscovery(),
                            SETTINGS,
                            1024)) {
                refused = refusedAfterStall(host, fixture);
            }
        }
        assertEquals(List.of(), refused);
    }

    /** The status lines other than a host's 200 that clients receive for requests sent right after a stall. */
    private List<String> refusedAfterStall(ScriptedHost host, GatewayFixture fixture) throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(fixture.client());
        }
        for (long end = System.nanoTime() + NORMAL_TRAFFIC_NANOS; System.nanoTime() < end; ) {
            sendRequests(clients);
            readRefusals(clients);
        }
        responsesReleased = new CountDownLatch(1);
        int before = host.requests.size();
        sendRequests(clients);
        GatewayFixture.await("all requests at the host", () -> host.requests.size() == before + CLIENTS);
        fixture.stall(STALL_MILLIS);
        responsesReleased.countDown();
        readRefusals(clients);
        sendRequests(clients);
        return readRefusals(clients);
    }

    private void sendRequests(List<Client> clients) throws IOException {
        for (Client client : clients) {
            client.write(GatewayFixture.status("request-" + sent++, GatewayFixture.LONG_TIMEOUT_MILLIS));
        }
    }

    private static List<String> readRefusals(List<Client> clients) throws IOException {
        List<String> refusals = new ArrayList<>();
        for (Client client : clients) {
            String statusLine = client.read().firstLine();
            if (!statusLine.contains(" 200 ")) {
                refusals.add(statusLine);
            }
        }
        return refusals;
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One host under enough names to have a request of each client in flight. */
    private static List<String> entries(ScriptedHost host) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            entries.add(GatewayFixture.entry("s-" + i, host, "up", 0));
        }
        return entries;
    }
}
