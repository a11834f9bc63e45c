package tinworks.channel;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import tinworks.channel.PeerMessage.Announce;
import tinworks.channel.PeerMessage.Call;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.channel.PeerMessage.ConfigurationBody;
import tinworks.channel.PeerMessage.ConfigurationChanged;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.Hosts;
import tinworks.channel.PeerMessage.HostsChanged;
import tinworks.channel.PeerMessage.Join;
import tinworks.channel.PeerMessage.Leave;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.PeerMessage.Ping;
import tinworks.channel.PeerMessage.PullConfiguration;
import tinworks.channel.PeerMessage.PullHosts;
import tinworks.channel.PeerMessage.RaftMessage;
import tinworks.raft.Entry;
import tinworks.raft.Member;
import tinworks.raft.MemberListCodec;
import tinworks.raft.Message;
import tinworks.raft.Message.Append;
import tinworks.raft.Message.AppendReply;
import tinworks.raft.Message.InstallSnapshot;
import tinworks.raft.Message.InstallSnapshotReply;
import tinworks.raft.Message.LeaseEnded;
import tinworks.raft.Message.LeaseQuery;
import tinworks.raft.Message.TimeoutNow;
import tinworks.raft.Message.VoteReply;
import tinworks.raft.Message.VoteRequest;
import tinworks.raft.Snapshot;

/**
 * Encodes and decodes {@link PeerMessage}s: one byte for the type, then the fields in order, big-endian. A string or
 * byte array is preceded by its length (4 bytes), a list by its count (4 bytes); a boolean is one byte. The fields of a
 * {@link Hello} follow {@link #MAGIC} and {@link #VERSION}. Framing is not done here.
 */
public final class PeerMessageCodec {
    /** The first four bytes of a Hello: {@code TWCH}. */
    static final int MAGIC = 0x54574348;
    /** Incremented whenever the wire format changes. Peers of different versions close the connection at the Hello. */
    static final short VERSION = 7;
    /** Bound of a frame: a configuration body of the largest size, and the fields around it. */
    static final int MAX_FRAME_BYTES = 16 << 20;

    private static final byte HELLO = 1;
    private static final byte PING = 2;
    private static final byte RAFT_MESSAGE = 3;
    private static final byte JOIN = 4;
    private static final byte ANNOUNCE = 5;
    private static final byte PULL_CONFIGURATION = 6;
    private static final byte CONFIGURATION = 7;
    private static final byte PULL_HOSTS = 8;
    private static final byte HOSTS = 9;
    private static final byte CALL = 10;
    private static final byte CALL_RESPONSE = 11;
    private static final byte HOSTS_CHANGED = 12;
    private static final byte CONFIGURATION_CHANGED = 13;
    private static final byte LEAVE = 14;
    private static final byte VOTE_REQUEST = 1;
    private static final byte VOTE_REPLY = 2;
    private static final byte APPEND = 3;
    private static final byte APPEND_REPLY = 4;
    private static final byte INSTALL_SNAPSHOT = 5;
    private static final byte TIMEOUT_NOW = 6;
    private static final byte INSTALL_SNAPSHOT_REPLY = 7;
    private static final byte LEASE_QUERY = 8;
    private static final byte LEASE_ENDED = 9;
    private static final Entry.Kind[] ENTRY_KINDS = Entry.Kind.values();
    private static final NodeRole[] ROLES = NodeRole.values();

    private PeerMessageCodec() {}

    /** Encodes a message into a buffer that is ready to be read. */
    public static ByteBuffer write(PeerMessage message) {
        ByteWriter out = new ByteWriter();
        if (message instanceof Hello m) {
            out.writeByte(HELLO)
                    .writeInt(MAGIC)
                    .writeShort(VERSION)
                    .writeByte((byte) m.role().ordinal())
                    .writeLong(m.id())
                    .writeString(m.address())
                    .writeString(m.node())
                    .writeString(m.zone());
        } else if (message instanceof Ping) {
            out.writeByte(PING);
        } else if (message instanceof RaftMessage m) {
            out.writeByte(RAFT_MESSAGE).writeLong(m.from()).writeLong(m.to());
            writeMessage(out, m.message());
        } else if (message instanceof Join m) {
            out.writeByte(JOIN)
                    .writeLong(m.member().id())
                    .writeString(m.member().address());
        } else if (message instanceof Leave m) {
            out.writeByte(LEAVE).writeLong(m.id());
        } else if (message instanceof Announce m) {
            writeAnnounce(out, m);
        } else if (message instanceof PullConfiguration m) {
            out.writeByte(PULL_CONFIGURATION).writeLong(m.heldRev());
        } else if (message instanceof ConfigurationBody m) {
            out.writeByte(CONFIGURATION).writeLong(m.rev()).writeBytes(m.compressed());
        } else if (message instanceof ConfigurationChanged m) {
            out.writeByte(CONFIGURATION_CHANGED)
                    .writeLong(m.base())
                    .writeLong(m.rev())
                    .writeBytes(m.compressed());
        } else if (message instanceof PullHosts m) {
            out.writeByte(PULL_HOSTS);
            writeVersion(out, m.heldVersion());
        } else if (message instanceof Hosts m) {
            out.writeByte(HOSTS);
            writeVersion(out, m.list().version());
            writeHosts(out, m.list().hosts());
        } else if (message instanceof HostsChanged m) {
            out.writeByte(HOSTS_CHANGED);
            writeVersion(out, m.change().base());
            writeVersion(out, m.change().version());
            writeHosts(out, m.change().updated());
            out.writeInt(m.change().removedIds().size());
            m.change().removedIds().forEach(out::writeString);
        } else if (message instanceof Call m) {
            out.writeByte(CALL).writeLong(m.number()).writeBoolean(m.read()).writeBytes(m.body());
        } else if (message instanceof CallResponse m) {
            out.writeByte(CALL_RESPONSE)
                    .writeLong(m.number())
                    .writeInt(m.status())
                    .writeBytes(m.body());
        }
        return out.finish();
    }

    /** Decodes a message that takes up the rest of a buffer; bytes that are missing or left over are an error. */
    public static PeerMessage read(ByteBuffer bytes) throws MalformedDataException {
        ByteReader in = new ByteReader(bytes);
        try {
            PeerMessage message = read(in);
            if (bytes.hasRemaining()) {
                throw new MalformedDataException(bytes.remaining() + " unexpected bytes after the end");
            }
            return message;
        } catch (BufferUnderflowException e) {
            throw new MalformedDataException("unexpected end of data");
        } catch (IllegalArgumentException e) {
            throw new MalformedDataException(e.getMessage());
        }
    }

    private static PeerMessage read(ByteReader in) throws MalformedDataException {
        byte type = in.readByte();
        return switch (type) {
            case HELLO -> readHello(in);
            case PING -> new Ping();
            case RAFT_MESSAGE -> new RaftMessage(in.readLong(), in.readLong(), readMessage(in));
            case JOIN -> new Join(new Member(in.readLong(), in.readString()));
            case LEAVE -> new Leave(in.readLong());
            case ANNOUNCE -> readAnnounce(in);
            case PULL_CONFIGURATION -> new PullConfiguration(in.readLong());
            case CONFIGURATION -> new ConfigurationBody(in.readLong(), in.readBytes());
            case CONFIGURATION_CHANGED -> new ConfigurationChanged(in.readLong(), in.readLong(), in.readBytes());
            case PULL_HOSTS -> new PullHosts(readVersion(in));
            case HOSTS -> new Hosts(new HostList(readVersion(in), readHosts(in)));
            case HOSTS_CHANGED ->
                new HostsChanged(new HostListChange(readVersion(in), readVersion(in), readHosts(in), readStrings(in)));
            case CALL -> new Call(in.readLong(), in.readBoolean(), in.readBytes());
            case CALL_RESPONSE -> new CallResponse(in.readLong(), in.readInt(), in.readBytes());
            default -> throw new MalformedDataException("unknown message type: " + type);
        };
    }

    private static Hello readHello(ByteReader in) throws MalformedDataException {
        if (in.readInt() != MAGIC) {
            throw new MalformedDataException("Hello with wrong magic number");
        }
        short version = in.readShort();
        if (version != VERSION) {
            throw new MalformedDataException("protocol version " + version + ", expected " + VERSION);
        }
        return new Hello(in.readConstant(ROLES), in.readLong(), in.readString(), in.readString(), in.readString());
    }

    private static void writeAnnounce(ByteWriter out, Announce m) {
        out.writeByte(ANNOUNCE).writeLong(m.term()).writeLong(m.rev());
        writeVersion(out, m.hostListVersion());
        out.writeBoolean(m.fresh())
                .writeBoolean(m.leader())
                .writeInt(m.coreAddresses().size());
        m.coreAddresses().forEach(out::writeString);
        out.writeInt(m.edgeCount());
    }

    private static Announce readAnnounce(ByteReader in) throws MalformedDataException {
        return new Announce(
                in.readLong(),
                in.readLong(),
                readVersion(in),
                in.readBoolean(),
                in.readBoolean(),
                readStrings(in),
                in.readInt());
    }

    private static List<String> readStrings(ByteReader in) throws MalformedDataException {
        List<String> strings = new ArrayList<>();
        for (int i = in.readCount(Integer.BYTES); i > 0; i--) {
            strings.add(in.readString());
        }
        return strings;
    }

    private static void writeVersion(ByteWriter out, HostListVersion version) {
        out.writeLong(version.term()).writeLong(version.count());
    }

    private static HostListVersion readVersion(ByteReader in) {
        return new HostListVersion(in.readLong(), in.readLong());
    }

    private static void writeHosts(ByteWriter out, List<HostList.Host> hosts) {
        out.writeInt(hosts.size());
        for (HostList.Host host : hosts) {
            out.writeString(host.id())
                    .writeString(host.service())
                    .writeString(host.address())
                    .writeString(host.zone())
                    .writeInt(host.slots())
                    .writeBoolean(host.draining())
                    .writeLong(host.warmupMs());
        }
    }

    private static List<HostList.Host> readHosts(ByteReader in) throws MalformedDataException {
        List<HostList.Host> hosts = new ArrayList<>();
        for (int i = in.readCount(5 * Integer.BYTES + 1 + Long.BYTES); i > 0; i--) {
            hosts.add(new HostList.Host(
                    in.readString(),
                    in.readString(),
                    in.readString(),
                    in.readString(),
                    in.readInt(),
                    in.readBoolean(),
                    in.readLong()));
        }
        return hosts;
    }

    private static void writeMessage(ByteWriter out, Message message) {
        if (message instanceof VoteRequest m) {
            out.writeByte(VOTE_REQUEST)
                    .writeLong(m.term())
                    .writeBoolean(m.preVote())
                    .writeLong(m.lastIndex())
                    .writeLong(m.lastTerm())
                    .writeBoolean(m.leadershipTransfer());
        } else if (message instanceof VoteReply m) {
            out.writeByte(VOTE_REPLY)
                    .writeLong(m.term())
                    .writeBoolean(m.preVote())
                    .writeBoolean(m.granted());
        } else if (message instanceof Append m) {
            out.writeByte(APPEND)
                    .writeLong(m.term())
                    .writeLong(m.previousIndex())
                    .writeLong(m.previousTerm())
                    .writeLong(m.leaderCommit())
                    .writeLong(m.round())
                    .writeLong(m.echo())
                    .writeLong(m.leaseMillis())
                    .writeInt(m.entries().size());
            m.entries()
                    .forEach(e -> out.writeLong(e.index())
                            .writeLong(e.term())
                            .writeByte((byte) e.kind().ordinal())
                            .writeBytes(e.body()));
        } else if (message instanceof AppendReply m) {
            out.writeByte(APPEND_REPLY)
                    .writeLong(m.term())
                    .writeBoolean(m.success())
                    .writeLong(m.index())
                    .writeLong(m.round())
                    .writeLong(m.sentAt());
        } else if (message instanceof InstallSnapshot m) {
            Snapshot.Metadata metadata = m.metadata();
            out.writeByte(INSTALL_SNAPSHOT)
                    .writeLong(m.term())
                    .writeLong(m.round())
                    .writeLong(metadata.index())
                    .writeLong(metadata.term())
                    .writeBytes(MemberListCodec.encode(metadata.members()))
                    .writeInt(metadata.length())
                    .writeInt(metadata.checksum())
                    .writeLong(m.sequence())
                    .writeInt(m.offset())
                    .writeBytes(m.chunk());
        } else if (message instanceof InstallSnapshotReply m) {
            out.writeByte(INSTALL_SNAPSHOT_REPLY)
                    .writeLong(m.term())
                    .writeLong(m.index())
                    .writeInt(m.offset())
                    .writeLong(m.sequence())
                    .writeLong(m.round());
        } else if (message instanceof TimeoutNow m) {
            out.writeByte(TIMEOUT_NOW).writeLong(m.term());
        } else if (message instanceof LeaseQuery m) {
            out.writeByte(LEASE_QUERY).writeLong(m.term()).writeLong(m.incarnation());
        } else if (message instanceof LeaseEnded m) {
            out.writeByte(LEASE_ENDED).writeLong(m.term()).writeLong(m.incarnation());
        }
    }

    private static Message readMessage(ByteReader in) throws MalformedDataException {
        byte type = in.readByte();
        long term = in.readLong();
        return switch (type) {
            case VOTE_REQUEST ->
                new VoteRequest(term, in.readBoolean(), in.readLong(), in.readLong(), in.readBoolean());
            case VOTE_REPLY -> new VoteReply(term, in.readBoolean(), in.readBoolean());
            case APPEND -> readAppend(in, term);
            case APPEND_REPLY -> new AppendReply(term, in.readBoolean(), in.readLong(), in.readLong(), in.readLong());
            case INSTALL_SNAPSHOT -> readInstallSnapshot(in, term);
            case INSTALL_SNAPSHOT_REPLY ->
                new InstallSnapshotReply(term, in.readLong(), in.readInt(), in.readLong(), in.readLong());
            case TIMEOUT_NOW -> new TimeoutNow(term);
            case LEASE_QUERY -> new LeaseQuery(term, in.readLong());
            case LEASE_ENDED -> new LeaseEnded(term, in.readLong());
            default -> throw new MalformedDataException("unknown Raft message type: " + type);
        };
    }

    private static Append readAppend(ByteReader in, long term) throws MalformedDataException {
        long previousIndex = in.readLong();
        long previousTerm = in.readLong();
        long commit = in.readLong();
        long round = in.readLong();
        long echo = in.readLong();
        long leaseMillis = in.readLong();
        return new Append(term, previousIndex, previousTerm, commit, round, readEntries(in), echo, leaseMillis);
    }

    private static List<Entry> readEntries(ByteReader in) throws MalformedDataException {
        List<Entry> entries = new ArrayList<>();
        for (int i = in.readCount(2 * Long.BYTES + 1 + Integer.BYTES); i > 0; i--) {
            entries.add(new Entry(in.readLong(), in.readLong(), in.readConstant(ENTRY_KINDS), in.readBytes()));
        }
        return entries;
    }

    private static InstallSnapshot readInstallSnapshot(ByteReader in, long term) throws MalformedDataException {
        long round = in.readLong();
        long index = in.readLong();
        long snapshotTerm = in.readLong();
        Snapshot.Metadata metadata = new Snapshot.Metadata(
                index, snapshotTerm, MemberListCodec.decode(in.readBytes()), in.readInt(), in.readInt());
        long sequence = in.readLong();
        return new InstallSnapshot(term, metadata, in.readInt(), in.readBytes(), sequence, round);
    }
}
