package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tinworks.json.Json;

/** Every watch that ends is reported exactly once, whatever the remote end does. */
class DiscoveryTest {
    private final GatewayLoop gatewayLoop = GatewayLoop.dedicated();
    private final EventLoop loop = gatewayLoop.loop();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() throws InterruptedException {
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(GatewayFixture.AWAIT_TIMEOUT_MILLIS);
    }

    private Discovery watch(ScriptedHost server) {
        Discovery discovery = new Discovery(loop, Transport.TCP, server.address(), 7, 2000, new Discovery.Listener() {
            @Override
            public void onList(EndpointList list) {
                events.add("listed " + list.index());
            }

            @Override
            public void onFailure() {
                events.add("failed");
            }
        });
        loop.execute(discovery::watch);
        return discovery;
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(GatewayFixture.AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A machine that vanished leaves its connections open and sends nothing. */
    @Test
    void closesUnresponsiveWatch() throws Exception {
        try (ScriptedHost server = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            GatewayFixture.line(socket, GatewayFixture.list(8, false, List.of()));
        })) {
            watch(server);
            assertEquals("listed 8", nextEvent());
            assertEquals("failed", nextEvent());
            assertTrue(events.isEmpty());
        }
    }

    @Test
    void reportsErrorStatusFailedConnectAndMalformedLineAsFailures() throws Exception {
        try (ScriptedHost server = new ScriptedHost(ScriptedHost.reply("503 Service Unavailable", "busy"))) {
            watch(server);
            assertEquals("failed", nextEvent());
            server.script((socket, request) -> {
                GatewayFixture.startWatch(socket);
                GatewayFixture.line(socket, "{\"index\":9,\"endpoints\":[{\"name\":\"s\"}]}");
            });
            watch(server);
            assertEquals("failed", nextEvent());
            server.stop();
            watch(server);
            assertEquals("failed", nextEvent());
            assertTrue(events.isEmpty());
        }
    }

    /** After a switch the load balancer may still request a watch, because of a failure before the switch. */
    @Test
    void opensNoSecondWatchWhileOneIsConnecting() throws Exception {
        try (ScriptedHost server = new ScriptedHost((socket, request) -> {
                    GatewayFixture.startWatch(socket);
                    GatewayFixture.line(socket, GatewayFixture.list(8, false, List.of()));
                });
                ScriptedHost next = new ScriptedHost((socket, request) -> {
                    GatewayFixture.startWatch(socket);
                    GatewayFixture.line(socket, GatewayFixture.list(3, false, List.of()));
                })) {
            Discovery discovery = watch(server);
            assertEquals("listed 8", nextEvent());
            loop.execute(() -> {
                discovery.switchTo(next.address());
                discovery.watch();
            });
            assertEquals("listed 3", nextEvent());
            // Connections are accepted in order, so a second watch would precede this one.
            try (Socket last =
                    new Socket(next.address().getAddress(), next.address().getPort())) {
                GatewayFixture.await(
                        "the connection of the test",
                        () -> next.connections.stream().anyMatch(c -> c.getPort() == last.getLocalPort()));
                assertEquals(2, next.connections.size());
            }
        }
    }

    /** Keeps the start short: discovery is queried first, and the rest of the start is done meanwhile. */
    @Test
    void startsWatchBeforeListening() throws Exception {
        InetSocketAddress anywhere = new InetSocketAddress("127.0.0.1", 0);
        Json config = Json.read(
                "{\"seed\":\"2a\",\"settings\":" + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}");
        try (ScriptedHost server = GatewayFixture.quietDiscovery()) {
            Gateway gateway = Gateway.open(
                            gatewayLoop,
                            GatewayConfig.read(config, anywhere, server.address()),
                            Transport.TCP,
                            line -> {})
                    .get(GatewayFixture.AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            GatewayFixture.await("the watch request", () -> server.requests.size() == 1);
            gateway.listen().get(GatewayFixture.AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            try (Socket client = new Socket("127.0.0.1", gateway.address().getPort())) {
                ScriptedHost.write(client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                assertTrue(ScriptedHost.Message.read(client.getInputStream())
                        .firstLine()
                        .startsWith("HTTP/1.1 "));
            }
        }
    }

    /** The readiness status of a gateway that knows this list, before discovery responds. */
    private String readinessWith(String known) throws Exception {
        InetSocketAddress anywhere = new InetSocketAddress("127.0.0.1", 0);
        Json config = Json.read("{\"seed\":\"2a\",\"known\":" + known + ",\"settings\":"
                + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}");
        try (ScriptedHost unresponsive = new ScriptedHost((socket, request) -> {})) {
            Gateway gateway = Gateway.start(
                            gatewayLoop,
                            GatewayConfig.read(config, anywhere, unresponsive.address()),
                            Transport.TCP,
                            line -> {})
                    .get(GatewayFixture.AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            try (Socket client = new Socket("127.0.0.1", gateway.address().getPort())) {
                ScriptedHost.write(client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                return ScriptedHost.Message.read(client.getInputStream()).firstLine();
            }
        }
    }

    @Test
    void isReadyBeforeDiscoveryRespondsWhenHostsAreKnown() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {})) {
            String entry = GatewayFixture.entry("s-0", host, "up", 0);
            assertTrue(
                    readinessWith(GatewayFixture.list(1, true, List.of(entry))).contains(" 200 "));
        }
        assertTrue(readinessWith(GatewayFixture.list(1, true, List.of())).contains(" 503 "));
    }
}
