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
import tinworks.simulation.Simulator;

/**
 * Connections between simulated machines, with the rules of {@link TcpConnectionManager} and {@link TcpPeerConnection}.
 * A connection keeps its bytes in order; what a cut holds up goes on when the cut ends, or is lost where the connection
 * is reset before. A cut is silent and may hold in one direction alone. Every signal travels as
 * {@link PeerMessageCodec}'s bytes.
 */
public final class SimulatedNetwork {
    private static final int MIN_LATENCY_MICROS = 1_400;
    private static final int JITTER_MICROS = 600;
    private static final int DEFAULT_BYTES_PER_MILLI = 125_000;
    private static final long MAX_RETRANSMIT_MICROS = 400_000;

    private final Simulator world;
    private final Map<String, Acceptor> acceptors = new HashMap<>();
    private final Set<List<Machine>> partitions = new HashSet<>();
    private final Set<Machine> throttled = new HashSet<>();
    private final Set<Pipe> blockedPipes = new LinkedHashSet<>();
    /** Those with frames on their way. */
    private final Set<Pipe> busyPipes = new LinkedHashSet<>();

    private final Set<Connection> connections = new LinkedHashSet<>();
    private long throttledBytesPerMilli = DEFAULT_BYTES_PER_MILLI;

    private record Acceptor(Machine machine, long life, Hello localHello, PeerConnection.Listener listener) {}

    /** A network without anyone on it. */
    public SimulatedNetwork(Simulator world) {
        this.world = world;
    }

    // ---- troubles

    /** Nothing gets from one machine to the other, and nobody is told. */
    public void partition(Machine from, Machine to) {
        partitions.add(List.of(from, to));
    }

    /** Ends a cut: what was held up comes within a while. */
    public void heal(Machine from, Machine to) {
        partitions.remove(List.of(from, to));
        List.copyOf(blockedPipes).forEach(pipe -> {
            if (pipe.from == from && pipe.to == to) {
                blockedPipes.remove(pipe);
                world.schedule(world.random().nextLong(MAX_RETRANSMIT_MICROS), pipe::deliverDueFrames);
            }
        });
    }

    /** Whether anything gets from one machine to the other. */
    public boolean isPartitioned(Machine from, Machine to) {
        return partitions.contains(List.of(from, to));
    }

    /** Links with a machine take so many bytes a millisecond. */
    public void throttle(Machine machine, long bytesPerMilli) {
        throttled.add(machine);
        throttledBytesPerMilli = bytesPerMilli;
    }

    /** Links with a machine are as fast as ever, also for what is on its way. */
    public void unthrottle(Machine machine) {
        throttled.remove(machine);
        busyPipes.stream()
                .filter(pipe -> pipe.from == machine || pipe.to == machine)
                .forEach(Pipe::reschedule);
    }

    /** Resets the connections between two machines; what is on its way is lost. */
    public void resetConnections(Machine one, Machine other) {
        List.copyOf(connections).forEach(c -> {
            if (c.isBetween(one, other)) {
                c.reset();
            }
        });
    }

    /** The process of a machine is gone: its kernel ends the connections. */
    public void processKilled(Machine machine) {
        acceptors.values().removeIf(l -> l.machine == machine);
        List.copyOf(connections).forEach(c -> c.processKilled(machine));
    }

    /** A machine is dark: nobody is told. */
    public void powerOff(Machine machine) {
        acceptors.values().removeIf(l -> l.machine == machine);
    }

    // ---- what processes ask for

    /** Takes connections at the machine's address. */
    public void listen(Machine machine, Hello own, PeerConnection.Listener listener) {
        acceptors.put(machine.address(), new Acceptor(machine, machine.incarnation(), own, listener));
    }

    /** The connections that a process dials. */
    public SimulatedConnectionManager connectionManager(
            Machine machine, Map<String, Machine> machines, Hello own, PeerConnection.Listener listener) {
        return new SimulatedConnectionManager(machine, machines, own, listener);
    }

    private long randomLatencyMicros() {
        return (long) MIN_LATENCY_MICROS + world.random().nextInt(JITTER_MICROS);
    }

    // ---- connections

    private final class Pipe {
        private final Connection connection;
        private final Machine from;
        private final Machine to;
        private final ArrayDeque<Frame> frames = new ArrayDeque<>();
        private long transmittedMicros;
        private int pendingBytes;
        private Endpoint receiver;

        /** Null bytes end the connection. */
        private record Frame(long dueMicros, byte[] bytes) {}

        Pipe(Connection connection, Machine from, Machine to) {
            this.connection = connection;
            this.from = from;
            this.to = to;
        }

        void enqueue(byte[] frame) {
            transmittedMicros = Math.max(transmittedMicros, world.micros()) + transmissionMicros(frame);
            long due = transmittedMicros + randomLatencyMicros();
            frames.add(new Frame(due, frame));
            busyPipes.add(this);
            pendingBytes += frame == null ? 0 : frame.length;
            world.schedule(due - world.micros(), this::deliverDueFrames);
        }

        private long transmissionMicros(byte[] frame) {
            long rate = throttled.contains(from) || throttled.contains(to)
                    ? throttledBytesPerMilli
                    : DEFAULT_BYTES_PER_MILLI;
            return frame == null ? 0 : frame.length * 1_000L / rate;
        }

        /**
         * The link has become faster: what is on its way comes at the present rate, and no later than it would have.
         */
        void reschedule() {
            List<Frame> onTheirWay = List.copyOf(frames);
            frames.clear();
            transmittedMicros = world.micros();
            for (Frame frame : onTheirWay) {
                transmittedMicros += transmissionMicros(frame.bytes);
                long due = Math.min(frame.dueMicros, transmittedMicros + MIN_LATENCY_MICROS);
                frames.add(new Frame(due, frame.bytes));
                world.schedule(Math.max(0, due - world.micros()), this::deliverDueFrames);
            }
        }

        void deliverDueFrames() {
            while (!frames.isEmpty() && frames.peek().dueMicros <= world.micros()) {
                if (isPartitioned(from, to)) {
                    blockedPipes.add(this);
                    return;
                }
                Frame frame = frames.poll();
                pendingBytes -= frame.bytes == null ? 0 : frame.bytes.length;
                deliver(frame.bytes);
            }
            if (frames.isEmpty()) {
                busyPipes.remove(this);
            }
        }

        private void deliver(byte[] frame) {
            if (receiver == null || connection.wasReset) {
                return;
            }
            if (receiver.life == to.incarnation() && to.running()) {
                to.deliver(receiver.life, () -> receiver.receive(frame));
            } else if (to.powered() && frame != null) {
                // Whoever came after knows nothing of the connection.
                connection.opposite(this).enqueue(null);
            }
        }
    }

    private final class Connection {
        private final Pipe forward;
        private final Pipe reverse;
        private boolean wasReset;

        Connection(Machine dialling, Machine accepting) {
            forward = new Pipe(this, dialling, accepting);
            reverse = new Pipe(this, accepting, dialling);
            connections.add(this);
        }

        Pipe opposite(Pipe pipe) {
            return pipe == forward ? reverse : forward;
        }

        boolean isBetween(Machine one, Machine other) {
            return (forward.from == one && forward.to == other) || (forward.from == other && forward.to == one);
        }

        void reset() {
            wasReset = true;
            connections.remove(this);
            for (Pipe pipe : List.of(forward, reverse)) {
                Endpoint end = pipe.receiver;
                if (end != null) {
                    pipe.to.deliver(end.life, end::notifyClosed);
                }
            }
        }

        void processKilled(Machine machine) {
            for (Pipe pipe : List.of(forward, reverse)) {
                if (pipe.from == machine) {
                    if (world.random().nextBoolean()) {
                        pipe.frames.clear();
                    }
                    pipe.enqueue(null);
                }
            }
        }
    }

    /** One side of a connection. */
    private final class Endpoint implements PeerConnection {
        private final Machine machine;
        private final long life;
        private final boolean outbound;
        private final Hello localHello;
        private final Listener listener;
        private final Connection connection;
        private final Pipe outgoing;
        private final Runnable onClosed;
        private Hello peer;
        private boolean closing;
        private boolean closed;
        private long lastReceivedMillis;
        private long lastSentMillis;

        Endpoint(
                Machine machine, boolean dialled, Hello own, Listener listener, Connection connection, Runnable onEnd) {
            this.machine = machine;
            life = machine.incarnation();
            this.outbound = dialled;
            this.localHello = own;
            this.listener = listener;
            this.connection = connection;
            this.onClosed = onEnd;
            outgoing = dialled ? connection.forward : connection.reverse;
            connection.opposite(outgoing).receiver = this;
            lastReceivedMillis = machine.millis();
        }

        void start() {
            send(localHello);
            machine.schedule(TcpPeerConnection.PING_INTERVAL_MILLIS, this::checkLiveness);
        }

        private void checkLiveness() {
            if (closing || closed) {
                return;
            }
            long now = machine.millis();
            if (now - lastReceivedMillis > TcpPeerConnection.PEER_TIMEOUT_MILLIS) {
                close("silent for " + (now - lastReceivedMillis) + " ms");
                return;
            }
            if (now - lastSentMillis >= TcpPeerConnection.PING_INTERVAL_MILLIS) {
                send(new Ping());
            }
            machine.schedule(TcpPeerConnection.PING_INTERVAL_MILLIS, this::checkLiveness);
        }

        @Override
        public Hello peer() {
            return peer;
        }

        @Override
        public boolean isOutbound() {
            return outbound;
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
            lastSentMillis = machine.millis();
            outgoing.enqueue(frame);
            if (outgoing.pendingBytes > TcpPeerConnection.MAX_PENDING_WRITE_BYTES) {
                close("the far side doesn't read");
            }
        }

        @Override
        public void close(String why) {
            if (!closing && !closed) {
                closing = true;
                outgoing.enqueue(null);
                machine.schedule(0, this::notifyClosed);
            }
        }

        void receive(byte[] frame) {
            if (closing || closed) {
                return;
            }
            if (frame == null) {
                notifyClosed();
                return;
            }
            lastReceivedMillis = machine.millis();
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

        void notifyClosed() {
            if (closed) {
                return;
            }
            closed = true;
            connections.remove(connection);
            if (peer != null) {
                listener.closed(this);
            }
            onClosed.run();
        }
    }

    /** What {@link TcpConnectionManager} does, on this network. */
    public final class SimulatedConnectionManager implements ConnectionManager {
        private final Machine machine;
        private final Map<String, Machine> machines;
        private final Hello localHello;
        private final PeerConnection.Listener listener;
        private final SplittableRandom random;
        private final Map<String, Link> links = new LinkedHashMap<>();

        private SimulatedConnectionManager(
                Machine machine, Map<String, Machine> machines, Hello own, PeerConnection.Listener listener) {
            this.machine = machine;
            this.machines = machines;
            this.localHello = own;
            this.listener = listener;
            random = new SplittableRandom(own.id());
        }

        @Override
        public void setAddresses(Collection<String> addresses) {
            Set<String> wanted = new TreeSet<>(addresses);
            wanted.remove(localHello.address());
            for (String old : List.copyOf(links.keySet())) {
                if (!wanted.contains(old)) {
                    links.remove(old).stop();
                }
            }
            for (String address : wanted) {
                if (!links.containsKey(address)) {
                    Link link = new Link(address);
                    links.put(address, link);
                    link.connect();
                }
            }
        }

        @Override
        public List<PeerConnection> openConnections() {
            List<PeerConnection> open = new ArrayList<>();
            for (Link link : links.values()) {
                if (link.endpoint != null && link.endpoint.isOpen()) {
                    open.add(link.endpoint);
                }
            }
            return open;
        }

        private final class Link {
            private final String address;
            private Endpoint endpoint;
            private long backoffMillis = TcpConnectionManager.INITIAL_BACKOFF_MILLIS;
            private boolean stopped;
            private long attempts;

            Link(String address) {
                this.address = address;
            }

            private void connect() {
                if (stopped) {
                    return;
                }
                endpoint = null;
                long dial = ++attempts;
                long life = machine.incarnation();
                Machine far = machines.get(address);
                machine.schedule(TcpConnectionManager.CONNECT_TIMEOUT_MILLIS, () -> connectFailed(dial));
                world.schedule(randomLatencyMicros(), () -> {
                    if (far == null || !far.powered() || isPartitioned(machine, far) || isPartitioned(far, machine)) {
                        return;
                    }
                    Acceptor there = acceptors.get(address);
                    if (there == null) {
                        world.schedule(randomLatencyMicros(), () -> machine.deliver(life, () -> connectFailed(dial)));
                        return;
                    }
                    if (machine.incarnation() != life) {
                        return;
                    }
                    Connection connection = new Connection(machine, far);
                    Endpoint accepted =
                            new Endpoint(far, false, there.localHello, there.listener, connection, () -> {});
                    Endpoint dialling =
                            new Endpoint(machine, true, localHello, listener, connection, this::scheduleReconnect);
                    long back = randomLatencyMicros();
                    // What the far side says comes behind its consent.
                    connection.reverse.transmittedMicros = world.micros() + back;
                    far.deliver(there.life, accepted::start);
                    world.schedule(back, () -> machine.deliver(life, () -> connected(dial, dialling)));
                });
            }

            private void connected(long dial, Endpoint opened) {
                if (dial != attempts || stopped) {
                    opened.close("too late");
                    return;
                }
                attempts++;
                endpoint = opened;
                endpoint.start();
            }

            private void connectFailed(long dial) {
                if (dial == attempts) {
                    scheduleReconnect();
                }
            }

            private void scheduleReconnect() {
                if (stopped) {
                    return;
                }
                attempts++;
                boolean wasOpen = endpoint != null && endpoint.peer != null;
                backoffMillis = wasOpen
                        ? TcpConnectionManager.INITIAL_BACKOFF_MILLIS
                        : Math.min(TcpConnectionManager.MAX_BACKOFF_MILLIS, backoffMillis * 2);
                machine.schedule(backoffMillis / 2 + random.nextLong(backoffMillis), this::connect);
            }

            void stop() {
                stopped = true;
                if (endpoint != null) {
                    endpoint.close("not wanted");
                }
            }
        }
    }
}
