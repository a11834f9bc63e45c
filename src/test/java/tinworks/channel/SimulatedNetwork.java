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
 * A network between simulated machines, with the behaviour of {@link TcpConnectionManager} and
 * {@link TcpPeerConnection}. A connection keeps its frames in order. A partition may affect one direction only and is
 * not reported; frames that it blocks are delivered once it heals, or lost if the connection is reset before. Every
 * message is encoded and decoded by {@link PeerMessageCodec}.
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
    /** The pipes with frames in flight. */
    private final Set<Pipe> busyPipes = new LinkedHashSet<>();

    private final Set<Connection> connections = new LinkedHashSet<>();
    private long throttledBytesPerMilli = DEFAULT_BYTES_PER_MILLI;

    private record Acceptor(Machine machine, long incarnation, Hello localHello, PeerConnection.Listener listener) {}

    /** A network without connections. */
    public SimulatedNetwork(Simulator world) {
        this.world = world;
    }

    // ---- faults

    /** Blocks all traffic from one machine to the other; neither side is notified. */
    public void partition(Machine from, Machine to) {
        partitions.add(List.of(from, to));
    }

    /** Heals a partition: blocked frames are delivered after a random retransmission delay. */
    public void heal(Machine from, Machine to) {
        partitions.remove(List.of(from, to));
        List.copyOf(blockedPipes).forEach(pipe -> {
            if (pipe.from == from && pipe.to == to) {
                blockedPipes.remove(pipe);
                world.schedule(world.random().nextLong(MAX_RETRANSMIT_MICROS), pipe::deliverDueFrames);
            }
        });
    }

    /** Whether traffic from one machine to the other is blocked. */
    public boolean isPartitioned(Machine from, Machine to) {
        return partitions.contains(List.of(from, to));
    }

    /** Limits the bandwidth of all connections of a machine. */
    public void throttle(Machine machine, long bytesPerMilli) {
        throttled.add(machine);
        throttledBytesPerMilli = bytesPerMilli;
    }

    /** Removes the bandwidth limit of a machine, also for frames in flight. */
    public void unthrottle(Machine machine) {
        throttled.remove(machine);
        busyPipes.stream()
                .filter(pipe -> pipe.from == machine || pipe.to == machine)
                .forEach(Pipe::reschedule);
    }

    /** Resets the connections between two machines; frames in flight are lost. */
    public void resetConnections(Machine one, Machine other) {
        List.copyOf(connections).forEach(c -> {
            if (c.isBetween(one, other)) {
                c.reset();
            }
        });
    }

    /** The process of a machine was killed: its kernel closes the connections. */
    public void processKilled(Machine machine) {
        acceptors.values().removeIf(l -> l.machine == machine);
        List.copyOf(connections).forEach(c -> c.processKilled(machine));
    }

    /** A machine lost power: its peers are not notified. */
    public void powerOff(Machine machine) {
        acceptors.values().removeIf(l -> l.machine == machine);
    }

    // ---- operations of processes

    /** Accepts connections at the machine's address. */
    public void listen(Machine machine, Hello localHello, PeerConnection.Listener listener) {
        acceptors.put(machine.address(), new Acceptor(machine, machine.incarnation(), localHello, listener));
    }

    /** Creates the connection manager of a process. */
    public SimulatedConnectionManager connectionManager(
            Machine machine, Map<String, Machine> machines, Hello localHello, PeerConnection.Listener listener) {
        return new SimulatedConnectionManager(machine, machines, localHello, listener);
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

        /** A frame in flight; null bytes close the connection. */
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

        /** Reschedules frames in flight at the new, higher rate; none arrives later than it would have. */
        void reschedule() {
            List<Frame> inFlight = List.copyOf(frames);
            frames.clear();
            transmittedMicros = world.micros();
            for (Frame frame : inFlight) {
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
            if (receiver.incarnation == to.incarnation() && to.running()) {
                to.deliver(receiver.incarnation, () -> receiver.receive(frame));
            } else if (to.powered() && frame != null) {
                // The process that was started since does not know the connection.
                connection.opposite(this).enqueue(null);
            }
        }
    }

    private final class Connection {
        private final Pipe forward;
        private final Pipe reverse;
        private boolean wasReset;

        Connection(Machine initiator, Machine acceptor) {
            forward = new Pipe(this, initiator, acceptor);
            reverse = new Pipe(this, acceptor, initiator);
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
                    pipe.to.deliver(end.incarnation, end::notifyClosed);
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

    /** One side of a simulated connection. */
    private final class Endpoint implements PeerConnection {
        private final Machine machine;
        private final long incarnation;
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
                Machine machine,
                boolean outbound,
                Hello localHello,
                Listener listener,
                Connection connection,
                Runnable onClosed) {
            this.machine = machine;
            incarnation = machine.incarnation();
            this.outbound = outbound;
            this.localHello = localHello;
            this.listener = listener;
            this.connection = connection;
            this.onClosed = onClosed;
            outgoing = outbound ? connection.forward : connection.reverse;
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
                close("no data received for " + (now - lastReceivedMillis) + " ms");
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
        public void send(PeerMessage message) {
            if (closing || closed) {
                return;
            }
            ByteBuffer written = PeerMessageCodec.write(message);
            byte[] frame = new byte[written.remaining()];
            written.get(frame);
            lastSentMillis = machine.millis();
            outgoing.enqueue(frame);
            if (outgoing.pendingBytes > TcpPeerConnection.MAX_PENDING_WRITE_BYTES) {
                close("too many unsent bytes: the peer does not read");
            }
        }

        @Override
        public void close(String reason) {
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
                PeerMessage message = PeerMessageCodec.read(ByteBuffer.wrap(frame));
                if (peer == null) {
                    peer = (Hello) message;
                    listener.opened(this);
                } else if (!(message instanceof Ping)) {
                    listener.received(this, message);
                }
            } catch (MalformedDataException e) {
                throw new IllegalStateException("a frame written by the codec cannot be decoded", e);
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

    /** The counterpart of {@link TcpConnectionManager} on this network. */
    public final class SimulatedConnectionManager implements ConnectionManager {
        private final Machine machine;
        private final Map<String, Machine> machines;
        private final Hello localHello;
        private final PeerConnection.Listener listener;
        private final SplittableRandom random;
        private final Map<String, Link> links = new LinkedHashMap<>();

        private SimulatedConnectionManager(
                Machine machine, Map<String, Machine> machines, Hello localHello, PeerConnection.Listener listener) {
            this.machine = machine;
            this.machines = machines;
            this.localHello = localHello;
            this.listener = listener;
            random = new SplittableRandom(localHello.id());
        }

        @Override
        public void setAddresses(Collection<String> addresses) {
            Set<String> targets = new TreeSet<>(addresses);
            targets.remove(localHello.address());
            for (String old : List.copyOf(links.keySet())) {
                if (!targets.contains(old)) {
                    links.remove(old).stop();
                }
            }
            for (String address : targets) {
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
                long attempt = ++attempts;
                long incarnation = machine.incarnation();
                Machine remote = machines.get(address);
                machine.schedule(TcpConnectionManager.CONNECT_TIMEOUT_MILLIS, () -> connectFailed(attempt));
                world.schedule(randomLatencyMicros(), () -> {
                    if (remote == null
                            || !remote.powered()
                            || isPartitioned(machine, remote)
                            || isPartitioned(remote, machine)) {
                        return;
                    }
                    Acceptor acceptor = acceptors.get(address);
                    if (acceptor == null) {
                        world.schedule(
                                randomLatencyMicros(),
                                () -> machine.deliver(incarnation, () -> connectFailed(attempt)));
                        return;
                    }
                    if (machine.incarnation() != incarnation) {
                        return;
                    }
                    Connection connection = new Connection(machine, remote);
                    Endpoint accepted =
                            new Endpoint(remote, false, acceptor.localHello, acceptor.listener, connection, () -> {});
                    Endpoint initiated =
                            new Endpoint(machine, true, localHello, listener, connection, this::scheduleReconnect);
                    long replyLatency = randomLatencyMicros();
                    // The acceptor's first message arrives after its acceptance of the connection.
                    connection.reverse.transmittedMicros = world.micros() + replyLatency;
                    remote.deliver(acceptor.incarnation, accepted::start);
                    world.schedule(
                            replyLatency, () -> machine.deliver(incarnation, () -> connected(attempt, initiated)));
                });
            }

            private void connected(long attempt, Endpoint opened) {
                if (attempt != attempts || stopped) {
                    opened.close("connection attempt abandoned");
                    return;
                }
                attempts++;
                endpoint = opened;
                endpoint.start();
            }

            private void connectFailed(long attempt) {
                if (attempt == attempts) {
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
                    endpoint.close("address no longer configured");
                }
            }
        }
    }
}
