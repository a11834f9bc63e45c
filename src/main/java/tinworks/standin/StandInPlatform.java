package tinworks.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinworks.net.ClientServer;
import tinworks.net.ClientServer.BadRequest;
import tinworks.net.ClientServer.Reply;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;

/**
 * The platform's list of hosts by the published protocol: in pages, trailing what is so by a lag, and with a rate
 * beyond which it answers 429. On the event loop of the hosts that it lists.
 *
 * @param <H> what hosts are
 */
public final class StandInPlatform<H extends Listable> implements ClientServer.Listener {
    private static final int PAGE = 50;
    private static final int CONNECTIONS = 100;
    private static final int HEAD_BYTES = 8_192;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long IDLE_SECONDS = 30;

    /** How it answers. */
    public enum Conduct {
        /** With its list. */
        SOUND,
        /** With 429 to every call. */
        BUSY,
        /** Never. */
        MUTE,
        /** With what is no list. */
        GARBLED
    }

    /** A host as the list shows it, which trails what it is. */
    private record Listed(Listable host, boolean draining) {}

    private final EventLoop loop;
    private final long lagMillis;
    private final int ratePerSecond;
    private final ClientServer server;
    private final Map<String, H> hosts = new LinkedHashMap<>();
    private final ArrayDeque<Long> calls = new ArrayDeque<>();
    private List<Listed> shown = List.of();
    private long answered;
    private long refused;
    private Conduct conduct = Conduct.SOUND;

    /** A platform without hosts that doesn't listen yet. */
    public StandInPlatform(EventLoop loop, long lagMillis, int ratePerSecond) {
        this.loop = loop;
        this.lagMillis = lagMillis;
        this.ratePerSecond = ratePerSecond;
        server = new ClientServer(
                loop,
                Transport.TCP,
                new MonotonicClock(),
                new ClientServer.Bounds(
                        CONNECTIONS,
                        TimeUnit.SECONDS.toNanos(2),
                        TimeUnit.SECONDS.toNanos(IDLE_SECONDS),
                        HEAD_BYTES,
                        HEAD_BYTES,
                        "/-/none"),
                this);
    }

    /** Starts to listen; the future fails where the address can't be had. */
    public ChannelFuture listen(InetSocketAddress address) {
        return server.listen(address);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Takes in hosts, and shows them after the lag. */
    public void add(List<H> added) {
        added.forEach(host -> hosts.put(host.nature().id(), host));
        changed();
    }

    /** Takes out a host that has ended. */
    public void remove(String id) {
        hosts.remove(id);
        changed();
    }

    /** What a host tells has changed. */
    public void changed() {
        List<Listed> now = hosts.values().stream()
                .map(host -> new Listed(host, host.isDraining()))
                .toList();
        loop.schedule(() -> shown = now, lagMillis, TimeUnit.MILLISECONDS);
    }

    /** From now on it answers so. */
    public void behave(Conduct changed) {
        conduct = changed;
    }

    /** The hosts, those that are draining among them. */
    public List<H> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Pages given out. */
    public long answered() {
        return answered;
    }

    /** Calls turned away for the rate. */
    public long refused() {
        return refused;
    }

    private static String entry(Listed listed) {
        Listable host = listed.host();
        StandInHost.Nature nature = host.nature();
        return "{\"id\":\"" + nature.id() + "\",\"svc\":\"" + nature.service() + "\",\"addr\":\""
                + host.address().getAddress().getHostAddress() + ":"
                + host.address().getPort() + "\",\"az\":\"" + nature.zone()
                + "\",\"rev\":\"v1\",\"slots\":" + nature.slots() + ",\"status\":\""
                + (listed.draining() ? "draining" : "ready")
                + "\",\"warmupMs\":" + host.warmupLeftMillis() + "}";
    }

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public void onRequest(FullHttpRequest request, long arrivedAt, Reply reply) throws BadRequest {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        if (!uri.path().equals("/hosts")) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no such call");
        }
        if (conduct == Conduct.MUTE) {
            return;
        }
        if (conduct == Conduct.GARBLED) {
            reply.text(HttpResponseStatus.OK, "{\"hosts\":[{\"id\":\"i-1\"},", 0);
            return;
        }
        if (conduct == Conduct.BUSY || !withinRate()) {
            refused++;
            reply.text(HttpResponseStatus.TOO_MANY_REQUESTS, "too many calls", SECOND_NANOS);
            return;
        }
        answered++;
        int from = cursor(uri);
        List<String> page = shown.stream()
                .skip(from)
                .limit(PAGE)
                .map(StandInPlatform::entry)
                .toList();
        String next = from + PAGE < shown.size() ? "\"p-" + (from + PAGE) + "\"" : "null";
        reply.write(
                HttpResponseStatus.OK,
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json"),
                Unpooled.copiedBuffer(
                        "{\"hosts\":[" + String.join(",", page) + "],\"nextCursor\":" + next + "}",
                        StandardCharsets.UTF_8),
                0);
    }

    private static int cursor(QueryStringDecoder uri) throws BadRequest {
        List<String> cursors = uri.parameters().getOrDefault("cursor", List.of("p-0"));
        try {
            return Math.max(0, Integer.parseInt(cursors.get(0).substring(2)));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "no cursor of this list: " + cursors.get(0));
        }
    }

    private boolean withinRate() {
        long now = System.nanoTime();
        while (!calls.isEmpty() && now - calls.peek() > SECOND_NANOS) {
            calls.poll();
        }
        return calls.size() < ratePerSecond && calls.add(now);
    }
}
