package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.net.GatewayFixture.AWAIT_TIMEOUT_MILLIS;
import static tinworks.net.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static tinworks.net.GatewayFixture.await;
import static tinworks.net.GatewayFixture.entry;
import static tinworks.net.GatewayFixture.line;
import static tinworks.net.GatewayFixture.list;
import static tinworks.net.GatewayFixture.status;
import static tinworks.net.GatewayFixture.submit;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinworks.net.GatewayFixture.Client;

/** Reloading the configuration while the gateway runs. */
class ReloadTest {
    @TempDir
    private Path folder;

    private Map<String, String> environment(String discovery) throws IOException {
        Path file = Files.writeString(
                folder.resolve("config.json"),
                "{\"discovery\":\"" + discovery + "\",\"seed\":\"2a\",\"settings\":"
                        + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}");
        return Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", discovery, "LB_LISTEN", "127.0.0.1:0");
    }

    private static ScriptedHost discovery(int index, List<Socket> watches) throws IOException {
        return new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            line(socket, list(index, false, List.of()));
            watches.add(socket);
        });
    }

    @Test
    void switchesDiscoveryAndKeepsHostsAndOpenRequests() throws Exception {
        List<Socket> before = new CopyOnWriteArrayList<>();
        List<Socket> after = new CopyOnWriteArrayList<>();
        CompletableFuture<Socket> pending = new CompletableFuture<>();
        ScriptedHost old = discovery(40, before);
        try (ScriptedHost next = discovery(7, after);
                ScriptedHost host = new ScriptedHost((socket, request) -> pending.complete(socket));
                ScriptedHost newHost = new ScriptedHost(ScriptedHost.reply("200 OK", "new"));
                GatewayFixture f = new GatewayFixture(
                        list(40, true, List.of(entry("s", host, "up", 0))), old, 60_000_000_000L, 1024)) {
            Client client = f.client();
            client.write(submit("r1", LONG_TIMEOUT_MILLIS, "x"));
            Socket open = pending.get(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            GatewayProcess.reload(f.gateway, environment(next.addressText()));
            await("the watch at the new address", () -> after.size() == 1);
            await("the old watch is closed", () -> old.connections.get(0).isClosed());
            ScriptedHost.reply("200 OK", "old").answer(open, null);
            assertEquals("old", client.read().body(), "the host and the open request are kept");
            // Updates from the new address apply although their version is lower.
            line(after.get(0), list(8, false, List.of(entry("s", host, "removed", 0), entry("n", newHost, "up", 0))));
            await("a request at the new host", () -> isServed(f, "new"));
        }
    }

    private static boolean isServed(GatewayFixture f, String body) {
        try {
            return f.client()
                    .exchange(status("r" + System.nanoTime(), 200))
                    .body()
                    .equals(body);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void keepsOldConfigurationWhenNewOneIsUnreadable() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = discovery(1, watches);
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture f = new GatewayFixture(list(1, true, List.of()), discovery, 60_000_000_000L, 1024)) {
            Map<String, String> environment = environment("nowhere");
            GatewayProcess.reload(f.gateway, environment);
            for (String text : List.of("", "{", "[]", "{\"discovery\":17}")) {
                Files.writeString(folder.resolve("config.json"), text);
                GatewayProcess.reload(f.gateway, environment);
            }
            Files.delete(folder.resolve("config.json"));
            GatewayProcess.reload(f.gateway, environment);
            line(watches.get(0), list(2, false, List.of(entry("s", host, "up", 0))));
            await("the update from the old watch", () -> isServed(f, "fine"));
            assertEquals(1, discovery.connections.size(), "the old watch is kept");
        }
    }

    /**
     * Starts a process, because the Java runtime is what exits on SIGHUP. The process starts with the signal's default
     * action: if the tests ignore the signal, as under {@code nohup}, a child process inherits that, and the Java
     * runtime then accepts no handler for it.
     */
    @Test
    void processSurvivesHangUpAndFollowsNewFile() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        try (ScriptedHost first = discovery(1, watches);
                ScriptedHost second = discovery(1, watches)) {
            ProcessBuilder program = new ProcessBuilder(
                    "env",
                    "--default-signal=HUP",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx64m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "tinworks.Main",
                    "serve");
            program.environment().putAll(environment(first.addressText()));
            program.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
            Process process = program.start();
            try {
                await("the first watch", () -> first.requests.size() == 1);
                environment(second.addressText());
                sendHangUp(process);
                await("the watch after the first signal", () -> second.requests.size() == 1);
                environment(first.addressText());
                sendHangUp(process);
                await("the watch after the second signal", () -> first.requests.size() == 2);
                assertTrue(process.isAlive());
            } finally {
                process.destroy();
                assertTrue(process.waitFor(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "exits on SIGTERM");
            }
        }
    }

    private static void sendHangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid())
                        .start()
                        .waitFor());
    }
}
