package tinworks.channel;

import java.util.List;
import tinworks.config.CompressedBytes;
import tinworks.raft.Member;
import tinworks.raft.Message;

/** What one process of the system says to another. */
public sealed interface Signal {
    /** Which part a process plays. */
    enum Part {
        CORE,
        EDGE
    }

    /**
     * The first thing on a connection, from both sides.
     *
     * @param id who it is, for as long as its disk or else its process lives
     * @param address where a core machine takes connections of this kind; empty at an edge
     */
    record Hello(Part part, long id, String address, String node, String zone) implements Signal {}

    /** Shows that the sender lives. */
    record Ping() implements Signal {}

    /** A message of the agreement. */
    record Agreement(long from, long to, Message message) implements Signal {}

    /** A core machine that isn't a voter asks to be sent the log. */
    record Join(Member member) implements Signal {}

    /** A voter that is about to end asks the leader to let another vote in its place. */
    record Leave(long id) implements Signal {}

    /**
     * What a core machine has: newer versions may be pulled from it.
     *
     * @param term the sender's term in the agreement
     * @param fresh by the leader's lease, the sender's versions were the newest less than a lease ago
     * @param leads it is the leader, and by its lease nobody else can be
     * @param cores the addresses of all core machines that the sender knows of
     * @param edges how many edges are linked with the sender
     */
    record Announce(
            long term, long rev, HostListVersion hosts, boolean fresh, boolean leads, List<String> cores, int edges)
            implements Signal {
        /** Keeps its own list. */
        public Announce {
            cores = List.copyOf(cores);
        }
    }

    /** Asks for the configuration, or for what has changed in it since the version held, 0 for none. */
    record PullConfiguration(long held) implements Signal {}

    /** A version of the configuration: {@link ConfigurationCodec}'s bytes, {@link CompressedBytes}. */
    record ConfigurationBody(long rev, byte[] packed) implements Signal {}

    /**
     * What leads from one version of the configuration to a later one: {@link ConfigurationCodec}'s bytes,
     * {@link CompressedBytes}.
     */
    record ConfigurationChanged(long base, long rev, byte[] packed) implements Signal {}

    /** Asks for the list of hosts, or for what has changed in it since the version held. */
    record PullHosts(HostListVersion held) implements Signal {}

    /** The list of hosts. */
    record Hosts(HostList list) implements Signal {}

    /** What has changed in the list of hosts. */
    record HostsChanged(HostChange change) implements Signal {}

    /** A caller's request that only the leader can answer. {@code body} is a command, or empty for a read. */
    record Call(long number, boolean read, byte[] body) implements Signal {}

    /** The answer to a {@link Call}: an HTTP status and a body. */
    record CallAnswer(long number, int status, byte[] body) implements Signal {}
}
