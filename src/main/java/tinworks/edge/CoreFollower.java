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
 * What an edge knows from the core machines: it pulls from whichever announces something newer, and versions only rise.
 * Knows no sockets, threads or clock; all methods belong to one thread.
 */
public class CoreFollower implements PeerConnection.Listener {
    /** The edge round it. */
    public interface Callbacks {
        /** A steady clock's milliseconds. */
        long millis();

        /**
         * Reads a newer version, on another thread where that takes long, and then calls {@link CoreFollower#apply}, or
         * {@link CoreFollower#decodeFailed} where it can't be read.
         */
        void decode(long rev, Callable<Configuration> version);

        /** A newer list of hosts. */
        void hostListChanged(HostList list);

        /** How many edges there are is known anew. */
        void edgeCountChanged(int edges);

        /** A line for the operators. */
        void log(String line);
    }

    private static final int LARGEST_CONFIGURATION = 8 << 20;
    private static final long PULL_AGAIN_MILLIS = 400;
    private static final long ALONE_MILLIS = 3_000;
    private static final long BEHIND_MILLIS = 10_000;

    private final Callbacks owner;
    private final FreshnessGate newest = new FreshnessGate();
    private Configuration configuration;
    /** The version that is being read. */
    private long readingRev;

    private HostList list = HostList.NONE;
    private Set<String> cores = Set.of();
    /**
     * Core machines that were named by some that hear no leader: from one that is cut off the way leads on through
     * these.
     */
    private final Set<String> rumoured = new TreeSet<>();

    private int edges = 1;
    /** The highest term that a leader has spoken in. */
    private long term;

    private final long startedAt;
    private long heardLeaderAt;
    private long pulledConfigurationAt;
    private long pulledHostsAt;

    /** One that knows nothing yet. */
    public CoreFollower(Callbacks owner) {
        this.owner = owner;
        startedAt = owner.millis();
        heardLeaderAt = startedAt;
    }

    // ---- what is known

    /** The version in use, null where there is none yet. */
    public Configuration configuration() {
        return configuration;
    }

    /** The number of the version in use, 0 where there is none yet. */
    public long rev() {
        return configuration == null ? 0 : configuration.rev();
    }

    /** The newest list of hosts that a core machine told. */
    public HostList hostList() {
        return list;
    }

    /** How many edges there are, as far as the core has told. */
    public int edgeCount() {
        return edges;
    }

    /** Whether the newest versions have ever been in use here. */
    public boolean hasBeenUpToDate() {
        return newest.reached();
    }

    /**
     * Whether clients may be served with what is held: once that has been the newest; without the core's word while
     * that can't be had, since an old configuration serves better than none; and at last where the newest can't be
     * reached.
     */
    public boolean mayServe() {
        return configuration != null
                && (hasBeenUpToDate() || isCoreUnreachable() || owner.millis() - startedAt > BEHIND_MILLIS);
    }

    /** For how long no core machine has told anything by a leader's lease, in milliseconds. */
    public long millisSinceLeaderContact() {
        return owner.millis() - heardLeaderAt;
    }

    /** Whether the core is out of reach: then an edge looks for itself. */
    public boolean isCoreUnreachable() {
        return millisSinceLeaderContact() > ALONE_MILLIS;
    }

    /** The addresses to be linked with: the core machines as they were told, and the seeds while none is heard. */
    public Set<String> addressesToDial(Collection<String> seeds) {
        Set<String> wanted = new TreeSet<>(cores);
        if (cores.isEmpty() || isCoreUnreachable()) {
            wanted.addAll(seeds);
            wanted.addAll(rumoured);
        }
        return wanted;
    }

    // ---- what comes

    @Override
    public void opened(PeerConnection conversation) {
        // The far side announces itself.
    }

    @Override
    public void closed(PeerConnection conversation) {
        // Whatever was asked of it is asked again with another one's announcement.
    }

    @Override
    public void received(PeerConnection from, PeerMessage signal) {
        if (signal instanceof Announce s) {
            heard(from, s);
        } else if (signal instanceof ConfigurationBody s) {
            read(
                    s.rev(),
                    () -> ConfigurationCodec.read(CompressedBytes.decompress(s.compressed(), LARGEST_CONFIGURATION)));
        } else if (signal instanceof ConfigurationChanged s) {
            changed(from, s);
        } else if (signal instanceof Hosts s) {
            took(s.list());
        } else if (signal instanceof HostsChanged s) {
            if (s.change().base().isSameAs(list.version())) {
                took(s.change().applyTo(list));
            }
        }
    }

    @Override
    public void log(String line) {
        owner.log(line);
    }

    private void took(HostList newer) {
        pulledHostsAt = 0;
        if (newer.version().compareTo(list.version()) > 0) {
            list = newer;
            newest.holds(rev(), list.version());
            owner.hostListChanged(list);
        }
    }

    private void heard(PeerConnection from, Announce s) {
        long now = owner.millis();
        boolean fresh = s.fresh() && !isOld(s);
        if (fresh) {
            heardLeaderAt = now;
        }
        if (s.leader() && !isOld(s)) {
            term = s.term();
            cores = Set.copyOf(s.coreAddresses());
            rumoured.clear();
            count(s.edgeCount());
        } else if (cores.isEmpty() && fresh) {
            cores = Set.copyOf(s.coreAddresses());
        } else if (!fresh && (cores.isEmpty() || isCoreUnreachable())) {
            rumoured.addAll(s.coreAddresses());
        }
        if (isNewer(s.rev()) && now - pulledConfigurationAt > PULL_AGAIN_MILLIS) {
            pulledConfigurationAt = now;
            from.send(new PullConfiguration(rev()));
        }
        newest.announced(s.rev(), s.hostListVersion(), fresh);
        newest.holds(rev(), list.version());
        if (s.hostListVersion().compareTo(list.version()) > 0 && now - pulledHostsAt > PULL_AGAIN_MILLIS) {
            pulledHostsAt = now;
            from.send(new PullHosts(list.version()));
        }
    }

    /**
     * Guards against the word of an old leader, or by its lease, that comes late. A term counts once its leader has
     * spoken: a machine that is cut off from the others may raise its own term by itself.
     */
    boolean isOld(Announce s) {
        return s.term() < term;
    }

    private void count(int told) {
        if (told > 0 && told != edges) {
            edges = told;
            owner.edgeCountChanged(told);
        }
    }

    /** A change of the version that is held; of another one where a version came into use since this was asked for. */
    private void changed(PeerConnection from, ConfigurationChanged s) {
        Configuration held = configuration;
        if (s.base() == rev()) {
            read(
                    s.rev(),
                    () -> ConfigurationCodec.readChange(
                                    CompressedBytes.decompress(s.compressed(), LARGEST_CONFIGURATION))
                            .applyTo(held));
        } else if (isNewer(s.rev())) {
            from.send(new PullConfiguration(rev()));
        }
    }

    /** One at a time. */
    private void read(long rev, Callable<Configuration> version) {
        pulledConfigurationAt = 0;
        if (isNewer(rev)) {
            readingRev = rev;
            owner.decode(rev, version);
        }
    }

    private boolean isNewer(long rev) {
        return isNewer(rev, Math.max(rev(), readingRev));
    }

    /** Guards against a core machine that is itself behind, and an answer that was long on its way. */
    boolean isNewer(long rev, long held) {
        return rev > held;
    }

    /** A version that was read comes into use; false where a newer one is. */
    public boolean apply(Configuration read) {
        if (!isNewer(read.rev(), rev())) {
            return false;
        }
        configuration = read;
        newest.holds(read.rev(), list.version());
        return true;
    }

    /** The version that was being read can't be. */
    public void decodeFailed() {
        readingRev = 0;
    }
}
