package tinworks.channel;

import java.util.List;
import tinworks.config.CompressedBytes;
import tinworks.raft.Member;
import tinworks.raft.Message;

/** A message between two processes of the system. The wire format is that of {@link PeerMessageCodec}. */
public sealed interface PeerMessage {
    /** The role of a process. Written on the wire by position. */
    enum NodeRole {
        CORE,
        EDGE
    }

    /**
     * The first message that each side sends on a connection.
     *
     * @param id identifies the sender: for the lifetime of its disk, or of its process if it stores nothing
     * @param address where a core node accepts peer connections; empty for an edge
     */
    record Hello(NodeRole role, long id, String address, String node, String zone) implements PeerMessage {}

    /** Heartbeat (keep-alive) of a connection on which nothing else is sent. */
    record Ping() implements PeerMessage {}

    /** Carries a Raft message between two members. */
    record RaftMessage(long from, long to, Message message) implements PeerMessage {}

    /** A core node that is not a voter asks to be sent the log. */
    record Join(Member member) implements PeerMessage {}

    /** A voter that is shutting down asks the leader to have another member vote in its place. */
    record Leave(long id) implements PeerMessage {}

    /**
     * Announces the versions that a core node holds, so that newer ones can be pulled from it.
     *
     * @param term the sender's Raft term
     * @param fresh whether the leader's lease shows that the sender's versions were the newest less than a lease ago
     * @param leader whether the sender is the leader, and its lease excludes any other
     * @param coreAddresses the addresses of all core nodes known to the sender
     * @param edgeCount how many edges are connected to the sender
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
        /** Copies the list. */
        public Announce {
            coreAddresses = List.copyOf(coreAddresses);
        }
    }

    /** Requests the configuration, or the changes since the version held; 0 if none is held. */
    record PullConfiguration(long heldRev) implements PeerMessage {}

    /** A whole configuration, encoded by {@link ConfigurationCodec} and compressed as {@link CompressedBytes}. */
    record ConfigurationBody(long rev, byte[] compressed) implements PeerMessage {}

    /**
     * The change from one version of the configuration to a later one, encoded by {@link ConfigurationCodec} and
     * compressed as {@link CompressedBytes}.
     */
    record ConfigurationChanged(long base, long rev, byte[] compressed) implements PeerMessage {}

    /** Requests the host list, or the changes since the version held. */
    record PullHosts(HostListVersion heldVersion) implements PeerMessage {}

    /** The whole host list. */
    record Hosts(HostList list) implements PeerMessage {}

    /** A change of the host list. */
    record HostsChanged(HostListChange change) implements PeerMessage {}

    /** A caller's request that only the leader can answer. {@code body} is a command; it is empty for a read. */
    record Call(long number, boolean read, byte[] body) implements PeerMessage {}

    /** The response to a {@link Call}: an HTTP status and a body. */
    record CallResponse(long number, int status, byte[] body) implements PeerMessage {}
}
