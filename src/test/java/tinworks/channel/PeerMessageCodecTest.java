package tinworks.channel;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.raft.Entry;
import tinworks.raft.Member;
import tinworks.raft.Message;
import tinworks.raft.Snapshot;

/** Messages between processes round-trip through the codec, and corrupt bytes are rejected. */
class PeerMessageCodecTest {
    private static final Member MEMBER = new Member(-5, "10.1.0.9:7540");
    private static final List<PeerMessage> MESSAGES = List.of(
            new PeerMessage.Hello(NodeRole.EDGE, 7, "", "edge-1", "zone"),
            new PeerMessage.Ping(),
            new PeerMessage.Join(MEMBER),
            new PeerMessage.Announce(7, 9, new HostListVersion(3, 4), true, false, List.of("a:1", "b:1"), 69),
            new PeerMessage.PullConfiguration(8),
            new PeerMessage.ConfigurationBody(9, new byte[] {1, 2}),
            new PeerMessage.ConfigurationChanged(8, 9, new byte[] {1, 2}),
            new PeerMessage.PullHosts(new HostListVersion(1, 1)),
            new PeerMessage.Hosts(new HostList(
                    new HostListVersion(1, 2),
                    List.of(new HostList.Host("i-1", "svc", "10.0.0.1:80", "z", 3, true, 900)))),
            new PeerMessage.HostsChanged(new HostListChange(
                    new HostListVersion(1, 2),
                    new HostListVersion(2, 1),
                    List.of(new HostList.Host("i-1", "svc", "10.0.0.1:80", "z", 3, true, 900)),
                    List.of("i-2"))),
            new PeerMessage.Leave(7),
            new PeerMessage.Call(3, false, new byte[] {5}),
            new PeerMessage.CallResponse(3, 412, new byte[] {6}),
            raftMessage(new Message.VoteRequest(4, true, 5, 6, false)),
            raftMessage(new Message.VoteReply(4, false, true)),
            raftMessage(new Message.Append(
                    4, 1, 2, 3, 4, List.of(new Entry(2, 4, Entry.Kind.COMMAND, new byte[] {8})), 7, 9)),
            raftMessage(new Message.AppendReply(4, true, 5, 6, 7)),
            raftMessage(new Message.TimeoutNow(4)),
            raftMessage(new Message.LeaseQuery(4, 5)),
            raftMessage(new Message.LeaseEnded(4, 5)),
            raftMessage(new Message.InstallSnapshot(
                    4, new Snapshot.Metadata(9, 3, List.of(MEMBER), 7, -1), 5, new byte[] {1, 2}, 6, 2)),
            raftMessage(new Message.InstallSnapshotReply(4, 9, 5, 6, 2)));

    private static PeerMessage raftMessage(Message message) {
        return new PeerMessage.RaftMessage(1, 2, message);
    }

    private static byte[] bytes(PeerMessage message) {
        ByteBuffer buffer = PeerMessageCodec.write(message);
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    @Test
    void everyMessageRoundTrips() throws MalformedDataException {
        for (PeerMessage message : MESSAGES) {
            byte[] bytes = bytes(message);
            PeerMessage decoded = PeerMessageCodec.read(ByteBuffer.wrap(bytes));
            assertTrue(decoded.getClass() == message.getClass());
            assertArrayEquals(bytes, bytes(decoded));
        }
    }

    @Test
    void truncatedOrCorruptBytesAreRejected() {
        SplittableRandom random = new SplittableRandom(3);
        for (PeerMessage message : MESSAGES) {
            byte[] bytes = bytes(message);
            for (int i = 0; i < bytes.length; i++) {
                byte[] truncated = java.util.Arrays.copyOf(bytes, i);
                assertThrows(MalformedDataException.class, () -> PeerMessageCodec.read(ByteBuffer.wrap(truncated)));
            }
            byte[] longer = java.util.Arrays.copyOf(bytes, bytes.length + 1);
            assertThrows(MalformedDataException.class, () -> PeerMessageCodec.read(ByteBuffer.wrap(longer)));
            for (int i = 0; i < 3_000; i++) {
                byte[] corrupt = bytes.clone();
                corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt(256);
                try {
                    PeerMessageCodec.read(ByteBuffer.wrap(corrupt));
                } catch (MalformedDataException e) {
                    assertTrue(!e.getMessage().isEmpty());
                }
            }
        }
    }
}
