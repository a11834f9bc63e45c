package tinworks.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tinworks.standin.Listable;
import tinworks.standin.StandInHost.Nature;

/**
 * A host by the published protocol that can misbehave in any way that the protocol allows hosts to. It writes down what
 * it runs and what it answers. All on one event loop.
 */
final class SoakHost implements Listable {
    static final String ATTEMPT = "Attempt-Id";
    static final String SEAL = "Origin-Seal";
    static final String DEADLINE = "Deadline-Ms";
    /** A query field that asks for an answer of so many bytes. */
    static final String SIZE = "size";

    /** What the timeline calls the platform. */
    static final String PLATFORM_TROUBLE = "platform";

    /** How it behaves. */
    enum Conduct {
        SOUND,
        SLOW,
        MUTE,
        LOSE_ANSWERS,
        GARBLE,
        FAIL,
        TURN_AWAY,
        FORGET_IDLE
    }

    private static final int LARGEST_REQUEST = 9 << 20;
    private static final int LARGEST_ANSWER = 6 << 20;
    private static final double SLOWDOWN = 6;
    /** How many answers are lost, or spoilt, while it loses or spoils some. */
    private static final double SPOILT_PART = 0.3;

    private static final double FAILED_PART = 0.5;
    private static final long FORGET_MILLIS = 300;
    private static final int FORMS_OF_GARBLE = 6;
    private static final String CHECK = "/healthz";

    private final EventLoop loop;
    private final Nature nature;
    private final Books books;
    private final SplittableRandom random;
    private final Set<Connection> connections = new HashSet<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private Channel acceptor;
    private Conduct conduct = Conduct.SOUND;
    private int running;
    private boolean draining;
    private long drainingShownAt = Long.MAX_VALUE;

    private static final class Job {
        private final String id;
        private final FullHttpRequest request;
        private final Connection connection;
        private final long until;
        private Future<?> work;
        private boolean over;

        Job(String id, FullHttpRequest request, Connection connection, long until) {
            this.id = id;
            this.request = request;
            this.connection = connection;
            this.until = until;
        }
    }

    /** A host that doesn't listen yet; its work times and faults are drawn from the seed. */
    SoakHost(EventLoop loop, Nature nature, long seed, Books books) {
        this.loop = loop;
        this.nature = nature;
        this.books = books;
        random = new SplittableRandom(seed);
    }

    /** Starts to listen; the future fails where the address can't be had. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestDecoder(),
                                        new HttpObjectAggregator(LARGEST_REQUEST),
                                        new Connection(channel));
                    }
                })
                .bind(address);
        acceptor = bound.channel();
        return bound;
    }

    @Override
    public Nature nature() {
        return nature;
    }

    @Override
    public InetSocketAddress address() {
        return (InetSocketAddress) acceptor.localAddress();
    }

    @Override
    public boolean isDraining() {
        return draining;
    }

    @Override
    public long warmupLeftMillis() {
        return 0;
    }

    /** From now on it behaves so. */
    void behave(Conduct changed) {
        conduct = changed;
        if (changed == Conduct.SOUND) {
            next();
        }
    }

    /** It is to end: the platform shows it as draining after its lag. */
    void drain(long platformLagMillis) {
        draining = true;
        drainingShownAt = books.now() + platformLagMillis;
    }

    /** It ends: all connections break, and what it works on is lost. */
    void crash() {
        acceptor.close();
        for (Connection connection : List.copyOf(connections)) {
            connection.breakOff();
        }
        waiting.clear();
    }

    private void requested(Connection connection, FullHttpRequest request) {
        String id = request.headers().get(ATTEMPT);
        if (request.uri().equals(CHECK)) {
            connection.write(200, "Served-By: " + nature.id() + "\r\n", new byte[0]);
            return;
        }
        if (id == null) {
            connection.write(400, "Not-Run: 1\r\n", new byte[0]);
            return;
        }
        books.arrived(id, nature.id(), drainingShownAt);
        String wanted = request.headers().get("Want-Host");
        if (wanted != null && !wanted.equals(nature.id())) {
            connection.write(421, named(id), new byte[0]);
            return;
        }
        Job job = new Job(id, request.retain(), connection, System.nanoTime() + deadlineNanos(request));
        connection.job = job;
        boolean turnsAway = conduct == Conduct.TURN_AWAY && random.nextDouble() < FAILED_PART;
        if (turnsAway || (running >= nature.slots() && waiting.size() >= nature.queue())) {
            turnAway(job);
        } else {
            waiting.add(job);
            next();
        }
    }

    private static long deadlineNanos(FullHttpRequest request) {
        return TimeUnit.MILLISECONDS.toNanos(Long.parseLong(request.headers().get(DEADLINE, "60000")));
    }

    private void turnAway(Job job) {
        over(job);
        job.connection.write(503, named(job.id) + "Not-Run: 1\r\n", new byte[0]);
    }

    /** Begins with what waits while there are slots; a mute host takes it and does nothing more. */
    private void next() {
        while (running < nature.slots() && !waiting.isEmpty() && conduct != Conduct.MUTE) {
            Job job = waiting.poll();
            long left = job.until - System.nanoTime();
            if (job.over) {
                continue;
            }
            if (left <= 0) {
                turnAway(job);
                continue;
            }
            running++;
            books.ran(
                    job.id,
                    nature.id(),
                    nature.service(),
                    job.request.method().name(),
                    job.request.uri(),
                    ByteBufUtil.getBytes(job.request.content()));
            long work = (long) (workMillis() * TimeUnit.MILLISECONDS.toNanos(1));
            job.work = loop.schedule(() -> finish(job, work <= left), Math.min(work, left), TimeUnit.NANOSECONDS);
        }
    }

    /** A sure half and an exponential half. */
    private double workMillis() {
        double slow = conduct == Conduct.SLOW ? SLOWDOWN : 1;
        return slow * nature.workMillis() / nature.speed() * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
    }

    private void finish(Job job, boolean inTime) {
        running--;
        if (!job.over && conduct == Conduct.MUTE) {
            books.hostBrokeOff(job.id);
        } else if (!job.over) {
            answer(job, inTime);
        }
        next();
    }

    private void answer(Job job, boolean inTime) {
        boolean spoils = random.nextDouble() < SPOILT_PART;
        if (conduct == Conduct.LOSE_ANSWERS && spoils) {
            books.hostBrokeOff(job.id);
            over(job);
            if (random.nextBoolean()) {
                job.connection.breakOff();
            }
            return;
        }
        boolean fails = !inTime || (conduct == Conduct.FAIL && random.nextDouble() < FAILED_PART);
        int status = fails ? (inTime ? 500 : 504) : 200;
        byte[] body = body(job, status);
        String headers = named(job.id) + SEAL + ": seal-" + status + "-" + nature.id() + "-" + job.id + "\r\n";
        if (conduct == Conduct.GARBLE && spoils) {
            books.hostBrokeOff(job.id);
            over(job);
            garble(job, status, headers, body);
            return;
        }
        books.answers(job.id, status, body);
        over(job);
        job.connection.write(status, headers, body);
    }

    private byte[] body(Job job, int status) {
        StringBuilder text = new StringBuilder(status == 200 ? "done " : "failed ")
                .append(job.id)
                .append(" by ")
                .append(nature.id());
        List<String> sizes =
                new QueryStringDecoder(job.request.uri()).parameters().get(SIZE);
        int size = sizes == null ? 0 : Math.min(LARGEST_ANSWER, Integer.parseInt(sizes.get(0)));
        while (text.length() < size) {
            text.append(" and so on, and so on, and so on, and so on, and so on, and so on");
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** One of the ways in which an answer may be wrong; none of them may reach a client as a success. */
    private void garble(Job job, int status, String headers, byte[] body) {
        byte[] head = head(status, headers, body.length, false);
        Connection connection = job.connection;
        switch (random.nextInt(FORMS_OF_GARBLE)) {
            case 0 -> connection.cut(head, body, 1 + random.nextInt(head.length + body.length - 1));
            case 1 -> connection.raw(noise());
            case 2 -> connection.raw(head(status, headers.replace(job.id, "another-1"), body.length, false), body);
            case 3 -> {
                // Surplus behind a whole answer: that one may pass.
                books.answers(job.id, status, body);
                connection.raw(head, body, head, body);
            }
            case 4 -> connection.cut(head(200, headers, -1, false), body, Integer.MAX_VALUE);
            default -> connection.raw(head(503, named(job.id), body.length, false), body);
        }
    }

    private byte[] noise() {
        byte[] noise = new byte[200];
        random.nextBytes(noise);
        return noise;
    }

    private void over(Job job) {
        job.over = true;
        job.connection.job = null;
        job.request.release();
    }

    private String named(String id) {
        return ATTEMPT + ": " + id + "\r\nServed-By: " + nature.id() + "\r\n";
    }

    private static byte[] head(int status, String headers, int length, boolean close) {
        return ("HTTP/1.1 " + status + " Told\r\n" + headers + (length < 0 ? "" : "Content-Length: " + length + "\r\n")
                        + (close ? "Connection: close\r\n" : "") + "\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private Job job;
        private Future<?> forgetting;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (forgetting != null) {
                forgetting.cancel(false);
            }
            requested(this, request);
        }

        /** Most hosts drop a request when its connection closes. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            Job broken = job;
            if (broken == null) {
                return;
            }
            over(broken);
            if (broken.work != null && broken.work.cancel(false)) {
                running--;
                next();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        void write(int status, String headers, byte[] body) {
            raw(head(status, headers, body.length, draining), body);
            if (draining) {
                closeWhenWritten();
            } else if (conduct == Conduct.FORGET_IDLE) {
                forgetting = loop.schedule(() -> channel.close(), FORGET_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        void raw(byte[]... parts) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(parts));
        }

        /** So many bytes of an answer, and then the end. */
        void cut(byte[] head, byte[] body, int bytes) {
            ByteBuf all = Unpooled.wrappedBuffer(head, body);
            channel.writeAndFlush(all.slice(0, Math.min(bytes, all.readableBytes())))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        private void closeWhenWritten() {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        /** Resets the connection; what was at work on it is lost. */
        void breakOff() {
            if (job != null) {
                books.hostBrokeOff(job.id);
            }
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
