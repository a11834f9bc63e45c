package tinworks.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.json.Json;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;

/** The stand-ins of hosts and of the platform. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class StandInTest {
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Ledger ledger = new Ledger();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private StandInHost host(String id, int slots, int queue, double workMillis) {
        StandInHost host = NodeProcess.call(
                loop,
                () -> new StandInHost(
                        loop, new StandInHost.Nature(id, "s", "z", slots, queue, workMillis, 1, 0), 7, ledger));
        NodeProcess.call(loop, () -> host.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        return host;
    }

    private CompletableFuture<HttpResponse<String>> ask(StandInHost host, String id, String... headers) {
        NodeProcess.call(loop, () -> {
            ledger.sent(id, true);
            return true;
        });
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + host.address().getPort() + "/p/1"))
                .header("Attempt-Id", id);
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void aWholeAnswerIsStampedAndOneForAnotherHostIsTurnedAwayUnrun() {
        StandInHost host = host("i-1", 2, 2, 2);
        HttpResponse<String> served = ask(host, "a-1", "Want-Host", "i-1").join();
        assertEquals(200, served.statusCode());
        assertTrue(served.headers().firstValue("Origin-Seal").isPresent());
        HttpResponse<String> misled = ask(host, "b-1", "Want-Host", "i-2").join();
        assertEquals(421, misled.statusCode());
        assertTrue(misled.headers().firstValue("Not-Run").isPresent());
        assertFalse(misled.headers().firstValue("Origin-Seal").isPresent());
    }

    @Test
    void aFullHostTurnsAwayWhatItHasNoPlaceFor() {
        StandInHost host = host("i-1", 1, 1, 300);
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            calls.add(ask(host, "r" + i + "-1"));
        }
        List<Integer> statuses =
                calls.stream().map(call -> call.join().statusCode()).sorted().toList();
        assertEquals(List.of(200, 200, 503, 503, 503), statuses);
        assertTrue(calls.stream()
                .filter(call -> call.join().statusCode() == 503)
                .allMatch(call -> call.join().headers().firstValue("Not-Run").isPresent()));
    }

    @Test
    void workStopsAtTheDeadlineWithoutAStamp() {
        HttpResponse<String> late =
                ask(host("i-1", 1, 1, 60_000), "a-1", "Deadline-Ms", "30").join();
        assertEquals(504, late.statusCode());
        assertFalse(late.headers().firstValue("Origin-Seal").isPresent());
        assertFalse(late.headers().firstValue("Not-Run").isPresent(), "it has run");
    }

    private HttpResponse<String> page(StandInPlatform<StandInHost> platform, String cursor) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create(
                                "http://127.0.0.1:" + platform.address().getPort() + "/hosts" + cursor))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void theListComesInPagesAfterItsLagAndWithinItsRate() throws Exception {
        StandInPlatform<StandInHost> platform = NodeProcess.call(loop, () -> new StandInPlatform<>(loop, 50, 30));
        NodeProcess.call(loop, () -> platform.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        List<StandInHost> hosts = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            hosts.add(host("i-" + i, 1, 1, 1));
        }
        NodeProcess.call(loop, () -> {
            platform.add(hosts);
            return true;
        });
        Json first = Json.read(page(platform, "").body());
        while (first.field("hosts").entries().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(100);
            first = Json.read(page(platform, "").body());
        }
        assertEquals(50, first.field("hosts").entries().size());
        Json second = Json.read(
                page(platform, "?cursor=" + first.field("nextCursor").text()).body());
        assertEquals(10, second.field("hosts").entries().size());
        assertEquals(null, second.field("nextCursor").value());
        assertEquals(400, page(platform, "?cursor=x").statusCode());
        int turnedAway = 0;
        for (int i = 0; i < 40; i++) {
            turnedAway += page(platform, "").statusCode() == 429 ? 1 : 0;
        }
        assertTrue(turnedAway > 0, "40 calls at once against a rate of 30");
    }
}
