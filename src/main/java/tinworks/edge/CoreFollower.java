package tinworks.edge;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import tinworks.channel.ConfigurationCodec;
import tinworks.channel.HostList;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage;
import tinworks.channel.PeerMessage.Announce;
import tinworks.channel.PeerMessage.ConfigurationBody;
import tinworks.channel.PeerMessage.ConfigurationChanged;
import tinworks.channel.PeerMessage.Hosts;
import tinworks.channel.PeerMessage.HostsChanged;
import tinworks.channel.PeerMessage.PullConfiguration;
import tinworks.channel.PeerMessage.PullHosts;
import tinworks.config.CompressedBytes;
import tinworks.config.Configuration;

/**
 * The edge's replica of the control plane's state: the configuration, the host list and the core nodes' addresses. It
 * pulls from any core node that announces a newer version, and versions never decrease. It owns no sockets, threads or
 * clock; all methods must be called from one thread.
 */
public class CoreFollower implements PeerConnection.Listener {
    /** What the enclosing edge provides, and the changes that it is notified of. */
    public interface Callbacks {
        /** The time of a monotonic clock, in milliseconds. */
        long millis();

        /**
         * Decodes a newer version, off the event loop where that takes long, and then calls {@link CoreFollower#apply},
         * or {@link CoreFollower#decodeFailed} if it cannot be decoded.
         */
        void decode(long rev, Callable<Configuration> version);

        /** A newer host list has been received. */
        void hostListChanged(HostList list);

        /** The number of edges has changed. */
        void edgeCountChanged(int edges);

        /** Writes a line to the log. */
        void log(String line);
    }

    private static final int MAX_CONFIGURATION_BYTES = 8 << 20;
    private static final long PULL_RETRY_MILLIS = 400;
    private static final long CORE_UNREACHABLE_MILLIS = 3_000;
    private static final long MAX_WAIT_FOR_NEWEST_MILLIS = 10_000;

    private final Callbacks callbacks;
    private final FreshnessGate freshness = new FreshnessGate();
    private Configuration configuration;
    /** The newest version handed out for decoding; 0 if there is none or it could not be decoded. */
    private long decodingRev;

    private HostList hostList = HostList.NONE;
    private Set<String> cores = Set.of();
    /**
     * Addresses of core nodes announced by nodes that are out of touch with the leader. They let an edge get past a
     * partitioned core node to the rest of the cluster.
     */
    private final Set<String> hintedCores = new TreeSet<>();

    private int edgeCount = 1;
    /** The highest term in which a leader has announced itself. */
    private long term;

    private final long startedAtMillis;
    private long leaderContactAtMillis;
    private long configurationPulledAtMillis;
    private long hostsPulledAtMillis;

    /** Creates a follower that has received nothing yet. */
    public CoreFollower(Callbacks callbacks) {
        this.callbacks = callbacks;
        startedAtMillis = callbacks.millis();
        leaderContactAtMillis = startedAtMillis;
    }

    // ---- state

    /** The configuration in use, or null before the first one. */
    public Configuration configuration() {
        return configuration;
    }

    /** The version of the configuration in use, or 0 before the first one. */
    public long rev() {
        return configuration == null ? 0 : configuration.rev();
    }

    /** The newest host list received from a core node. */
    public HostList hostList() {
        return hostList;
    }

    /** The number of edges, as last announced by a leader. */
    public int edgeCount() {
        return edgeCount;
    }

    /** Whether this edge has ever held the newest configuration and host list. */
    public boolean hasBeenUpToDate() {
        return freshness.reached();
    }

    /**
     * Whether the state held is good enough to serve clients: it has been the newest once; or the core is unreachable,
     * as an old configuration serves better than none; or the newest version could not be fetched in time.
     */
    public boolean mayServe() {
        return configuration != null
                && (hasBeenUpToDate()
                        || isCoreUnreachable()
                        || callbacks.millis() - startedAtMillis > MAX_WAIT_FOR_NEWEST_MILLIS);
    }

    /** Milliseconds since a core node last announced itself under a valid leader lease. */
    public long millisSinceLeaderContact() {
        return callbacks.millis() - leaderContactAtMillis;
    }

    /** Whether the core is unreachable. The edge then polls the platform for hosts itself. */
    public boolean isCoreUnreachable() {
        return millisSinceLeaderContact() > CORE_UNREACHABLE_MILLIS;
    }

    /** The addresses to connect to: the announced core nodes, and the seeds too while no core node is in contact. */
    public Set<String> addressesToDial(Collection<String> seeds) {
        Set<String> addresses = new TreeSet<>(cores);
        if (cores.isEmpty() || isCoreUnreachable()) {
            addresses.addAll(seeds);
            addresses.addAll(hintedCores);
        }
        return addresses;
    }

    // ---- messages received

    @Override
    public void opened(PeerConnection connection) {
        // The core node announces itself.
    }

    @Override
    public void closed(PeerConnection connection) {
        // A pending pull is repeated on the next announcement of another core node.
    }

    @Override
    public void received(PeerConnection from, PeerMessage message) {
        if (message instanceof Announce s) {
            announcementReceived(from, s);
        } else if (message instanceof ConfigurationBody s) {
            startDecoding(
                    s.rev(),
                    () -> ConfigurationCodec.read(CompressedBytes.decompress(s.compressed(), MAX_CONFIGURATION_BYTES)));
        } else if (message instanceof ConfigurationChanged s) {
            changeReceived(from, s);
        } else if (message instanceof Hosts s) {
            hostsReceived(s.list());
        } else if (message instanceof HostsChanged s) {
            if (s.change().base().isSameAs(hostList.version())) {
                hostsReceived(s.change().applyTo(hostList));
            }
        }
    }

    @Override
    public void log(String line) {
        callbacks.log(line);
    }

    private void hostsReceived(HostList newer) {
        hostsPulledAtMillis = 0;
        if (newer.version().compareTo(hostList.version()) > 0) {
            hostList = newer;
            freshness.holds(rev(), hostList.version());
            callbacks.hostListChanged(hostList);
        }
    }

    private void announcementReceived(PeerConnection from, Announce s) {
        long now = callbacks.millis();
        boolean fresh = s.fresh() && !isFromEarlierTerm(s);
        if (fresh) {
            leaderContactAtMillis = now;
        }
        if (s.leader() && !isFromEarlierTerm(s)) {
            term = s.term();
            cores = Set.copyOf(s.coreAddresses());
            hintedCores.clear();
            updateEdgeCount(s.edgeCount());
        } else if (cores.isEmpty() && fresh) {
            cores = Set.copyOf(s.coreAddresses());
        } else if (!fresh && (cores.isEmpty() || isCoreUnreachable())) {
            hintedCores.addAll(s.coreAddresses());
        }
        if (isNewer(s.rev()) && now - configurationPulledAtMillis > PULL_RETRY_MILLIS) {
            configurationPulledAtMillis = now;
            from.send(new PullConfiguration(rev()));
        }
        freshness.announced(s.rev(), s.hostListVersion(), fresh);
        freshness.holds(rev(), hostList.version());
        if (s.hostListVersion().compareTo(hostList.version()) > 0 && now - hostsPulledAtMillis > PULL_RETRY_MILLIS) {
            hostsPulledAtMillis = now;
            from.send(new PullHosts(hostList.version()));
        }
    }

    /**
     * Guards against a delayed announcement of a deposed leader, or one made under its lease. A term counts only once
     * its leader has announced itself, as a partitioned node may raise its own term.
     */
    boolean isFromEarlierTerm(Announce s) {
        return s.term() < term;
    }

    private void updateEdgeCount(int announced) {
        if (announced > 0 && announced != edgeCount) {
            edgeCount = announced;
            callbacks.edgeCountChanged(announced);
        }
    }

    /**
     * Applies a delta to the version in use. The delta is against another version if one came into use since the pull;
     * then the edge pulls again.
     */
    private void changeReceived(PeerConnection from, ConfigurationChanged s) {
        Configuration held = configuration;
        if (s.base() == rev()) {
            startDecoding(
                    s.rev(),
                    () -> ConfigurationCodec.readChange(
                                    CompressedBytes.decompress(s.compressed(), MAX_CONFIGURATION_BYTES))
                            .applyTo(held));
        } else if (isNewer(s.rev())) {
            from.send(new PullConfiguration(rev()));
        }
    }

    /** Starts to decode a version, unless one as new is in use or being decoded. */
    private void startDecoding(long rev, Callable<Configuration> version) {
        configurationPulledAtMillis = 0;
        if (isNewer(rev)) {
            decodingRev = rev;
            callbacks.decode(rev, version);
        }
    }

    private boolean isNewer(long rev) {
        return isNewer(rev, Math.max(rev(), decodingRev));
    }

    /** Guards against a core node that lags behind, and against a delayed response. */
    boolean isNewer(long rev, long held) {
        return rev > held;
    }

    /** Puts a decoded version into use; returns false if the version in use is as new. */
    public boolean apply(Configuration decoded) {
        if (!isNewer(decoded.rev(), rev())) {
            return false;
        }
        configuration = decoded;
        freshness.holds(decoded.rev(), hostList.version());
        return true;
    }

    /** The version in decoding could not be decoded. */
    public void decodeFailed() {
        decodingRev = 0;
    }
}
