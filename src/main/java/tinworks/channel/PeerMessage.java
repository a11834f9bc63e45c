package tinworks.channel;

import java.util.List;
import tinworks.config.CompressedBytes;
import tinworks.raft.Member;
import tinworks.raft.Message;

/** What one process of the system says to another. */
public sealed interface PeerMessage {
    /** Which part a process plays. */
    enum NodeRole {
        CORE,
        EDGE
    }

    /**
     * The first thing on a connection, from both sides.
     *
     * @param id who it is, for as long as its disk or else its process lives
     * @param address where a core machine takes connections of this kind; empty at an edge
     */
    record Hello(NodeRole role, long id, String address, String node, String zone) implements PeerMessage {}

    /** Shows that the sender lives. */
    record Ping() implements PeerMessage {}

    /** A message of the agreement. */
    record RaftMessage(long from, long to, Message message) implements PeerMessage {}

    /** A core machine that isn't a voter asks to be sent the log. */
    record Join(Member member) implements PeerMessage {}

    /** A voter that is about to end asks the leader to let another vote in its place. */
    record Leave(long id) implements PeerMessage {}

    /**
     * What a core machine has: newer versions may be pulled from it.
     *
     * @param term the sender's term in the agreement
     * @param fresh by the leader's lease, the sender's versions were the newest less than a lease ago
     * @param leader it is the leader, and by its lease nobody else can be
     * @param coreAddresses the addresses of all core machines that the sender knows of
     * @param edgeCount how many edges are linked with the sender
     */
    record Announce(
            long term,
            long rev,
            HostListVersion hostListVersion,
            boolean fresh,
            boolean leader,
            List<String> coreAddresses,
            int edgeCount)
            implements PeerMessage {
        /** Keeps its own list. */
        public Announce {
            coreAddresses = List.copyOf(coreAddresses);
        }
    }

    /** Asks for the configuration, or for what has changed in it since the version held, 0 for none. */
    record PullConfiguration(long heldRev) implements PeerMessage {}

    /** A version of the configuration: {@link ConfigurationCodec}'s bytes, {@link CompressedBytes}. */
    record ConfigurationBody(long rev, byte[] compressed) implements PeerMessage {}

    /**
     * What leads from one version of the configuration to a later one: {@link ConfigurationCodec}'s bytes,
     * {@link CompressedBytes}.
     */
    record ConfigurationChanged(long base, long rev, byte[] compressed) implements PeerMessage {}

    /** Asks for the list of hosts, or for what has changed in it since the version held. */
    record PullHosts(HostListVersion heldVersion) implements PeerMessage {}

    /** The list of hosts. */
    record Hosts(HostList list) implements PeerMessage {}

    /** What has changed in the list of hosts. */
    record HostsChanged(HostListChange change) implements PeerMessage {}

    /** A caller's request that only the leader can answer. {@code body} is a command, or empty for a read. */
    record Call(long number, boolean read, byte[] body) implements PeerMessage {}

    /** The answer to a {@link Call}: an HTTP status and a body. */
    record CallResponse(long number, int status, byte[] body) implements PeerMessage {}
}
