package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import tinworks.net.GatewayFixture.Client;

/** A gateway whose own thread is held up while its hosts' answers lie unread. */
class StallTest {
    private static final int CLIENTS = 12;
    /** With the fixture's aims a tenth as long, answers count as late from half a second on. */
    private static final String SETTINGS = GatewayFixture.SETTINGS
            .replace("IDLE", "60000000000")
            .replace("\"aim_ns\":10000000000", "\"aim_ns\":1000000000");

    /** After a whole second the gateway knows its rate; one of little traffic sheds nobody. */
    private static final long USUAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private static final long STALL_MILLIS = 1_500;
    /** On a busy machine the way to the hosts alone may take half a second, which is not the gateway's stall. */
    private static final int ROUNDS = 3;

    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private volatile CountDownLatch answering = new CountDownLatch(0);
    private int asked;

    @Test
    void aStallOfItsOwnIsNotTheHostsAndRefusesNobody() throws Exception {
        List<String> refused = List.of();
        for (int round = 0; round < ROUNDS && (round == 0 || !refused.isEmpty()); round++) {
            try (ScriptedHost host = new ScriptedHost((socket, request) -> {
                        await(answering);
                        ScriptedHost.write(socket, ANSWER);
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

    /** What those who ask right after a stall are told that is no answer of a host. */
    private List<String> refusedAfterStall(ScriptedHost host, GatewayFixture fixture) throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(fixture.client());
        }
        for (long end = System.nanoTime() + USUAL_NANOS; System.nanoTime() < end; ) {
            ask(clients);
            refusals(clients);
        }
        answering = new CountDownLatch(1);
        int before = host.requests.size();
        ask(clients);
        GatewayFixture.await("all at the hosts", () -> host.requests.size() == before + CLIENTS);
        fixture.stall(STALL_MILLIS);
        answering.countDown();
        refusals(clients);
        ask(clients);
        return refusals(clients);
    }

    private void ask(List<Client> clients) throws IOException {
        for (Client client : clients) {
            client.write(GatewayFixture.status("request-" + asked++, GatewayFixture.LONG_TIMEOUT_MILLIS));
        }
    }

    private static List<String> refusals(List<Client> clients) throws IOException {
        List<String> refusals = new ArrayList<>();
        for (Client client : clients) {
            String told = client.read().firstLine();
            if (!told.contains(" 200 ")) {
                refusals.add(told);
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

    /** One host under as many names as it takes to hold a request of each client. */
    private static List<String> entries(ScriptedHost host) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            entries.add(GatewayFixture.entry("s-" + i, host, "up", 0));
        }
        return entries;
    }
}
