package tinworks.channel;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.Ping;
import tinworks.simulation.Machine;
import tinworks.simulation.World;

/**
 * Connections between simulated machines, with the rules of {@link TcpConnectionManager} and {@link TcpPeerConnection}.
 * A connection keeps its bytes in order; what a cut holds up goes on when the cut ends, or is lost where the connection
 * is reset before. A cut is silent and may hold in one direction alone. Every signal travels as
 * {@link PeerMessageCodec}'s bytes.
 */
public final class SimulatedNetwork {
    private static final int DELAY_MICROS = 1_400;
    private static final int JITTER_MICROS = 600;
    private static final int FAST_BYTES_PER_MILLI = 125_000;
    private static final long RETRANSMIT_MICROS = 400_000;

    private final World world;
    private final Map<String, Listening> listening = new HashMap<>();
    private final Set<List<Machine>> cuts = new HashSet<>();
    private final Set<Machine> slow = new HashSet<>();
    private final Set<Pipe> waiting = new LinkedHashSet<>();
    /** Those with frames on their way. */
    private final Set<Pipe> loaded = new LinkedHashSet<>();

    private final Set<Connection> connections = new LinkedHashSet<>();
    private long slowBytesPerMilli = FAST_BYTES_PER_MILLI;

    private record Listening(Machine machine, long life, Hello own, PeerConnection.Listener listener) {}

    /** A network without anyone on it. */
    public SimulatedNetwork(World world) {
        this.world = world;
    }

    // ---- troubles

    /** Nothing gets from one machine to the other, and nobody is told. */
    public void partition(Machine from, Machine to) {
        cuts.add(List.of(from, to));
    }

    /** Ends a cut: what was held up comes within a while. */
    public void heal(Machine from, Machine to) {
        cuts.remove(List.of(from, to));
        List.copyOf(waiting).forEach(pipe -> {
            if (pipe.from == from && pipe.to == to) {
                waiting.remove(pipe);
                world.later(world.random().nextLong(RETRANSMIT_MICROS), pipe::pump);
            }
        });
    }

    /** Whether anything gets from one machine to the other. */
    public boolean isPartitioned(Machine from, Machine to) {
        return cuts.contains(List.of(from, to));
    }

    /** Links with a machine take so many bytes a millisecond. */
    public void throttle(Machine machine, long bytesPerMilli) {
        slow.add(machine);
        slowBytesPerMilli = bytesPerMilli;
    }

    /** Links with a machine are as fast as ever, also for what is on its way. */
    public void unthrottle(Machine machine) {
        slow.remove(machine);
        loaded.stream()
                .filter(pipe -> pipe.from == machine || pipe.to == machine)
                .forEach(Pipe::hurry);
    }

    /** Resets the connections between two machines; what is on its way is lost. */
    public void resetConnections(Machine one, Machine other) {
        List.copyOf(connections).forEach(c -> {
            if (c.between(one, other)) {
                c.reset();
            }
        });
    }

    /** The process of a machine is gone: its kernel ends the connections. */
    public void processKilled(Machine machine) {
        listening.values().removeIf(l -> l.machine == machine);
        List.copyOf(connections).forEach(c -> c.killed(machine));
    }

    /** A machine is dark: nobody is told. */
    public void powerOff(Machine machine) {
        listening.values().removeIf(l -> l.machine == machine);
    }

    // ---- what processes ask for

    /** Takes connections at the machine's address. */
    public void listen(Machine machine, Hello own, PeerConnection.Listener listener) {
        listening.put(machine.address(), new Listening(machine, machine.life(), own, listener));
    }

    /** The connections that a process dials. */
    public SimulatedConnectionManager connectionManager(
            Machine machine, Map<String, Machine> machines, Hello own, PeerConnection.Listener listener) {
        return new SimulatedConnectionManager(machine, machines, own, listener);
    }

    private long delay() {
        return (long) DELAY_MICROS + world.random().nextInt(JITTER_MICROS);
    }

    // ---- connections

    private final class Pipe {
        private final Connection connection;
        private final Machine from;
        private final Machine to;
        private final ArrayDeque<Frame> frames = new ArrayDeque<>();
        private long lastDue;
        private int bytes;
        private End end;

        /** Null bytes end the connection. */
        private record Frame(long due, byte[] bytes) {}

        Pipe(Connection connection, Machine from, Machine to) {
            this.connection = connection;
            this.from = from;
            this.to = to;
        }

        void push(byte[] frame) {
            lastDue = Math.max(lastDue, world.micros()) + micros(frame);
            long due = lastDue + delay();
            frames.add(new Frame(due, frame));
            loaded.add(this);
            bytes += frame == null ? 0 : frame.length;
            world.later(due - world.micros(), this::pump);
        }

        private long micros(byte[] frame) {
            long rate = slow.contains(from) || slow.contains(to) ? slowBytesPerMilli : FAST_BYTES_PER_MILLI;
            return frame == null ? 0 : frame.length * 1_000L / rate;
        }

        /**
         * The link has become faster: what is on its way comes at the present rate, and no later than it would have.
         */
        void hurry() {
            List<Frame> onTheirWay = List.copyOf(frames);
            frames.clear();
            lastDue = world.micros();
            for (Frame frame : onTheirWay) {
                lastDue += micros(frame.bytes);
                long due = Math.min(frame.due, lastDue + DELAY_MICROS);
                frames.add(new Frame(due, frame.bytes));
                world.later(Math.max(0, due - world.micros()), this::pump);
            }
        }

        void pump() {
            while (!frames.isEmpty() && frames.peek().due <= world.micros()) {
                if (isPartitioned(from, to)) {
                    waiting.add(this);
                    return;
                }
                Frame frame = frames.poll();
                bytes -= frame.bytes == null ? 0 : frame.bytes.length;
                deliver(frame.bytes);
            }
            if (frames.isEmpty()) {
                loaded.remove(this);
            }
        }

        private void deliver(byte[] frame) {
            if (end == null || connection.broken) {
                return;
            }
            if (end.life == to.life() && to.running()) {
                to.arrive(end.life, () -> end.took(frame));
            } else if (to.powered() && frame != null) {
                // Whoever came after knows nothing of the connection.
                connection.back(this).push(null);
            }
        }
    }

    private final class Connection {
        private final Pipe there;
        private final Pipe back;
        private boolean broken;

        Connection(Machine dialling, Machine accepting) {
            there = new Pipe(this, dialling, accepting);
            back = new Pipe(this, accepting, dialling);
            connections.add(this);
        }

        Pipe back(Pipe pipe) {
            return pipe == there ? back : there;
        }

        boolean between(Machine one, Machine other) {
            return (there.from == one && there.to == other) || (there.from == other && there.to == one);
        }

        void reset() {
            broken = true;
            connections.remove(this);
            for (Pipe pipe : List.of(there, back)) {
                End end = pipe.end;
                if (end != null) {
                    pipe.to.arrive(end.life, end::ended);
                }
            }
        }

        void killed(Machine machine) {
            for (Pipe pipe : List.of(there, back)) {
                if (pipe.from == machine) {
                    if (world.random().nextBoolean()) {
                        pipe.frames.clear();
                    }
                    pipe.push(null);
                }
            }
        }
    }

    /** One side of a connection. */
    private final class End implements PeerConnection {
        private final Machine machine;
        private final long life;
        private final boolean dialled;
        private final Hello own;
        private final Listener listener;
        private final Connection connection;
        private final Pipe out;
        private final Runnable onEnd;
        private Hello peer;
        private boolean closing;
        private boolean closed;
        private long heardAt;
        private long saidAt;

        End(Machine machine, boolean dialled, Hello own, Listener listener, Connection connection, Runnable onEnd) {
            this.machine = machine;
            life = machine.life();
            this.dialled = dialled;
            this.own = own;
            this.listener = listener;
            this.connection = connection;
            this.onEnd = onEnd;
            out = dialled ? connection.there : connection.back;
            connection.back(out).end = this;
            heardAt = machine.millis();
        }

        void begin() {
            send(own);
            machine.schedule(TcpPeerConnection.PING_INTERVAL_MILLIS, this::watch);
        }

        private void watch() {
            if (closing || closed) {
                return;
            }
            long now = machine.millis();
            if (now - heardAt > TcpPeerConnection.PEER_TIMEOUT_MILLIS) {
                close("silent for " + (now - heardAt) + " ms");
                return;
            }
            if (now - saidAt >= TcpPeerConnection.PING_INTERVAL_MILLIS) {
                send(new Ping());
            }
            machine.schedule(TcpPeerConnection.PING_INTERVAL_MILLIS, this::watch);
        }

        @Override
        public Hello peer() {
            return peer;
        }

        @Override
        public boolean isOutbound() {
            return dialled;
        }

        @Override
        public boolean isOpen() {
            return peer != null && !closed && !closing;
        }

        @Override
        public void send(PeerMessage signal) {
            if (closing || closed) {
                return;
            }
            ByteBuffer written = PeerMessageCodec.write(signal);
            byte[] frame = new byte[written.remaining()];
            written.get(frame);
            saidAt = machine.millis();
            out.push(frame);
            if (out.bytes > TcpPeerConnection.MAX_PENDING_WRITE_BYTES) {
                close("the far side doesn't read");
            }
        }

        @Override
        public void close(String why) {
            if (!closing && !closed) {
                closing = true;
                out.push(null);
                machine.schedule(0, this::ended);
            }
        }

        void took(byte[] frame) {
            if (closing || closed) {
                return;
            }
            if (frame == null) {
                ended();
                return;
            }
            heardAt = machine.millis();
            try {
                PeerMessage signal = PeerMessageCodec.read(ByteBuffer.wrap(frame));
                if (peer == null) {
                    peer = (Hello) signal;
                    listener.opened(this);
                } else if (!(signal instanceof Ping)) {
                    listener.received(this, signal);
                }
            } catch (MalformedDataException e) {
                throw new IllegalStateException("a frame of our own can't be read", e);
            }
        }

        void ended() {
            if (closed) {
                return;
            }
            closed = true;
            connections.remove(connection);
            if (peer != null) {
                listener.closed(this);
            }
            onEnd.run();
        }
    }

    /** What {@link TcpConnectionManager} does, on this network. */
    public final class SimulatedConnectionManager implements ConnectionManager {
        private final Machine machine;
        private final Map<String, Machine> machines;
        private final Hello own;
        private final PeerConnection.Listener listener;
        private final SplittableRandom random;
        private final Map<String, Link> links = new LinkedHashMap<>();

        private SimulatedConnectionManager(
                Machine machine, Map<String, Machine> machines, Hello own, PeerConnection.Listener listener) {
            this.machine = machine;
            this.machines = machines;
            this.own = own;
            this.listener = listener;
            random = new SplittableRandom(own.id());
        }

        @Override
        public void setAddresses(Collection<String> addresses) {
            Set<String> wanted = new TreeSet<>(addresses);
            wanted.remove(own.address());
            for (String old : List.copyOf(links.keySet())) {
                if (!wanted.contains(old)) {
                    links.remove(old).end();
                }
            }
            for (String address : wanted) {
                if (!links.containsKey(address)) {
                    Link link = new Link(address);
                    links.put(address, link);
                    link.dial();
                }
            }
        }

        @Override
        public List<PeerConnection> openConnections() {
            List<PeerConnection> open = new ArrayList<>();
            for (Link link : links.values()) {
                if (link.end != null && link.end.isOpen()) {
                    open.add(link.end);
                }
            }
            return open;
        }

        private final class Link {
            private final String address;
            private End end;
            private long pause = TcpConnectionManager.INITIAL_BACKOFF_MILLIS;
            private boolean ended;
            private long dials;

            Link(String address) {
                this.address = address;
            }

            private void dial() {
                if (ended) {
                    return;
                }
                end = null;
                long dial = ++dials;
                long life = machine.life();
                Machine far = machines.get(address);
                machine.schedule(TcpConnectionManager.CONNECT_TIMEOUT_MILLIS, () -> failed(dial));
                world.later(delay(), () -> {
                    if (far == null || !far.powered() || isPartitioned(machine, far) || isPartitioned(far, machine)) {
                        return;
                    }
                    Listening there = listening.get(address);
                    if (there == null) {
                        world.later(delay(), () -> machine.arrive(life, () -> failed(dial)));
                        return;
                    }
                    if (machine.life() != life) {
                        return;
                    }
                    Connection connection = new Connection(machine, far);
                    End accepted = new End(far, false, there.own, there.listener, connection, () -> {});
                    End dialling = new End(machine, true, own, listener, connection, this::again);
                    long back = delay();
                    // What the far side says comes behind its consent.
                    connection.back.lastDue = world.micros() + back;
                    far.arrive(there.life, accepted::begin);
                    world.later(back, () -> machine.arrive(life, () -> connected(dial, dialling)));
                });
            }

            private void connected(long dial, End opened) {
                if (dial != dials || ended) {
                    opened.close("too late");
                    return;
                }
                dials++;
                end = opened;
                end.begin();
            }

            private void failed(long dial) {
                if (dial == dials) {
                    again();
                }
            }

            private void again() {
                if (ended) {
                    return;
                }
                dials++;
                boolean wasOpen = end != null && end.peer != null;
                pause = wasOpen
                        ? TcpConnectionManager.INITIAL_BACKOFF_MILLIS
                        : Math.min(TcpConnectionManager.MAX_BACKOFF_MILLIS, pause * 2);
                machine.schedule(pause / 2 + random.nextLong(pause), this::dial);
            }

            void end() {
                ended = true;
                if (end != null) {
                    end.close("not wanted");
                }
            }
        }
    }
}
