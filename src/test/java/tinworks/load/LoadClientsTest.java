package tinworks.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.net.ClientServer;
import tinworks.net.ClientServer.Reply;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;
import tinworks.node.NodeProcess;

/** Clients before a scripted gateway. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class LoadClientsTest {
    private static final int OK = 200;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Map<String, List<String>> triesByRequest = new HashMap<>();
    private final List<String> promises = new ArrayList<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    /** A gateway that answers each first try with a status and each later one with 200. */
    private InetSocketAddress gateway(int firstStatus) {
        ClientServer server = NodeProcess.call(
                loop,
                () -> new ClientServer(
                        loop,
                        Transport.TCP,
                        new MonotonicClock(),
                        new ClientServer.Bounds(
                                500, TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(5), 8_192, 8_192, "/-/none"),
                        new ClientServer.Listener() {
                            @Override
                            public boolean ready() {
                                return true;
                            }

                            @Override
                            public void onRequest(FullHttpRequest request, long arrivedAt, Reply reply) {
                                boolean first =
                                        request.headers().get("Attempt-Id").endsWith("-1");
                                reply.write(
                                        HttpResponseStatus.valueOf(first ? firstStatus : OK),
                                        new DefaultHttpHeaders().set("Origin-Seal", "s"),
                                        Unpooled.EMPTY_BUFFER,
                                        first ? 20_000_000L : 0);
                            }
                        }));
        NodeProcess.call(loop, () -> server.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        return server.address();
    }

    private Results play(boolean once, InetSocketAddress gateway) throws InterruptedException {
        RequestKind kind = new RequestKind("k", "x.example", "/k/", once, 200, 500, 2_000);
        LoadClients clients = NodeProcess.call(
                loop,
                () -> new LoadClients(loop, List.of(kind), 3, new LoadClients.Watcher() {
                    @Override
                    public void sent(String attemptId, boolean isOnce) {
                        triesByRequest
                                .computeIfAbsent(
                                        attemptId.substring(0, attemptId.indexOf('-')), id -> new ArrayList<>())
                                .add(attemptId);
                    }

                    @Override
                    public void promisedNotRun(String attemptId) {
                        promises.add(attemptId);
                    }
                }));
        NodeProcess.call(loop, () -> {
            clients.gateways(List.of(gateway));
            clients.start(300);
            return true;
        });
        TimeUnit.MILLISECONDS.sleep(350);
        while (NodeProcess.call(loop, clients::open) > 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return NodeProcess.call(loop, clients::all);
    }

    private int mostTries() {
        return triesByRequest.values().stream().mapToInt(List::size).max().orElse(0);
    }

    @Test
    void arrivalsKeepTheirRateAndAreServedOnce() throws InterruptedException {
        Results results = play(true, gateway(OK));
        assertTrue(
                results.sentInAll() > 30 && results.sentInAll() < 100, "sent " + results.sentInAll() + ", 60 expected");
        assertEquals(results.sentInAll(), results.servedInAll());
        assertEquals(1, mostTries());
    }

    @Test
    void whatMayRunOnceGoesAgainAfterAPromiseAlone() throws InterruptedException {
        Results promised = play(true, gateway(503));
        assertEquals(promised.sentInAll(), promised.servedInAll());
        assertEquals(2, mostTries());
        assertEquals(promised.sentInAll(), promises.size());

        triesByRequest.clear();
        Results open = play(true, gateway(502));
        assertEquals(0, open.servedInAll());
        assertEquals(open.sentInAll(), open.failedInAll());
        assertEquals(1, mostTries(), "a 502 promises nothing");
    }

    @Test
    void whatIsRepeatableGoesAgainAfterAnyFailureButNotAfterAFinalWord() throws InterruptedException {
        Results again = play(false, gateway(502));
        assertEquals(again.sentInAll(), again.servedInAll());
        triesByRequest.clear();
        Results ended = play(false, gateway(404));
        assertEquals(ended.sentInAll(), ended.failedInAll());
        assertEquals(1, mostTries());
    }
}
