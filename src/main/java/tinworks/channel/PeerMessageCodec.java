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
 * The bytes of a {@link PeerMessage}: one byte for its kind, then its fields in order, big-endian. A text or a run of
 * bytes stands behind its length (4 bytes), a list behind its count (4 bytes), a flag is one byte. A {@link Hello}
 * begins with {@link #MAGIC} and {@link #VERSION}.
 */
public final class PeerMessageCodec {
    /** The first four bytes of a Hello: {@code TWCH}. */
    static final int MAGIC = 0x54574348;
    /** Raised whenever the bytes change; a connection between two versions is closed at its Hello. */
    static final short VERSION = 7;
    /** The longest frame: a configuration of the longest body, and what stands round it. */
    static final int LONGEST = 16 << 20;

    private static final byte HELLO = 1;
    private static final byte PING = 2;
    private static final byte AGREEMENT = 3;
    private static final byte JOIN = 4;
    private static final byte ANNOUNCE = 5;
    private static final byte PULL_CONFIGURATION = 6;
    private static final byte CONFIGURATION = 7;
    private static final byte PULL_HOSTS = 8;
    private static final byte HOSTS = 9;
    private static final byte CALL = 10;
    private static final byte CALL_ANSWER = 11;
    private static final byte HOSTS_CHANGED = 12;
    private static final byte CONFIGURATION_CHANGED = 13;
    private static final byte LEAVE = 14;
    private static final byte VOTE_REQUEST = 1;
    private static final byte VOTE_REPLY = 2;
    private static final byte APPEND = 3;
    private static final byte APPEND_REPLY = 4;
    private static final byte INSTALL = 5;
    private static final byte HAND_OVER = 6;
    private static final byte INSTALL_REPLY = 7;
    private static final byte LEASE_QUERY = 8;
    private static final byte LEASE_ENDED = 9;
    private static final Entry.Kind[] KINDS = Entry.Kind.values();
    private static final NodeRole[] PARTS = NodeRole.values();

    private PeerMessageCodec() {}

    /** A signal as bytes, ready to be read. */
    public static ByteBuffer write(PeerMessage signal) {
        ByteWriter out = new ByteWriter();
        if (signal instanceof Hello s) {
            out.one(HELLO)
                    .four(MAGIC)
                    .two(VERSION)
                    .one((byte) s.role().ordinal())
                    .eight(s.id())
                    .text(s.address())
                    .text(s.node())
                    .text(s.zone());
        } else if (signal instanceof Ping) {
            out.one(PING);
        } else if (signal instanceof RaftMessage s) {
            out.one(AGREEMENT).eight(s.from()).eight(s.to());
            writeMessage(out, s.message());
        } else if (signal instanceof Join s) {
            out.one(JOIN).eight(s.member().id()).text(s.member().address());
        } else if (signal instanceof Leave s) {
            out.one(LEAVE).eight(s.id());
        } else if (signal instanceof Announce s) {
            writeAnnounce(out, s);
        } else if (signal instanceof PullConfiguration s) {
            out.one(PULL_CONFIGURATION).eight(s.heldRev());
        } else if (signal instanceof ConfigurationBody s) {
            out.one(CONFIGURATION).eight(s.rev()).bytes(s.compressed());
        } else if (signal instanceof ConfigurationChanged s) {
            out.one(CONFIGURATION_CHANGED).eight(s.base()).eight(s.rev()).bytes(s.compressed());
        } else if (signal instanceof PullHosts s) {
            out.one(PULL_HOSTS);
            writeVersion(out, s.heldVersion());
        } else if (signal instanceof Hosts s) {
            out.one(HOSTS);
            writeVersion(out, s.list().version());
            writeHosts(out, s.list().hosts());
        } else if (signal instanceof HostsChanged s) {
            out.one(HOSTS_CHANGED);
            writeVersion(out, s.change().base());
            writeVersion(out, s.change().version());
            writeHosts(out, s.change().updated());
            out.four(s.change().removedIds().size());
            s.change().removedIds().forEach(out::text);
        } else if (signal instanceof Call s) {
            out.one(CALL).eight(s.number()).flag(s.read()).bytes(s.body());
        } else if (signal instanceof CallResponse s) {
            out.one(CALL_ANSWER).eight(s.number()).four(s.status()).bytes(s.body());
        }
        return out.done();
    }

    /** The signal that the rest of a buffer holds, no more and no less. */
    public static PeerMessage read(ByteBuffer bytes) throws MalformedDataException {
        ByteReader in = new ByteReader(bytes);
        try {
            PeerMessage signal = read(in);
            if (bytes.hasRemaining()) {
                throw new MalformedDataException(bytes.remaining() + " bytes left over");
            }
            return signal;
        } catch (BufferUnderflowException e) {
            throw new MalformedDataException("cut short");
        } catch (IllegalArgumentException e) {
            throw new MalformedDataException(e.getMessage());
        }
    }

    private static PeerMessage read(ByteReader in) throws MalformedDataException {
        byte kind = in.one();
        return switch (kind) {
            case HELLO -> readHello(in);
            case PING -> new Ping();
            case AGREEMENT -> new RaftMessage(in.eight(), in.eight(), readMessage(in));
            case JOIN -> new Join(new Member(in.eight(), in.text()));
            case LEAVE -> new Leave(in.eight());
            case ANNOUNCE -> readAnnounce(in);
            case PULL_CONFIGURATION -> new PullConfiguration(in.eight());
            case CONFIGURATION -> new ConfigurationBody(in.eight(), in.bytes());
            case CONFIGURATION_CHANGED -> new ConfigurationChanged(in.eight(), in.eight(), in.bytes());
            case PULL_HOSTS -> new PullHosts(readVersion(in));
            case HOSTS -> new Hosts(new HostList(readVersion(in), readHosts(in)));
            case HOSTS_CHANGED ->
                new HostsChanged(new HostListChange(readVersion(in), readVersion(in), readHosts(in), readTexts(in)));
            case CALL -> new Call(in.eight(), in.flag(), in.bytes());
            case CALL_ANSWER -> new CallResponse(in.eight(), in.four(), in.bytes());
            default -> throw new MalformedDataException("no signal of kind " + kind);
        };
    }

    private static Hello readHello(ByteReader in) throws MalformedDataException {
        if (in.four() != MAGIC) {
            throw new MalformedDataException("not a Hello of this system");
        }
        short version = in.two();
        if (version != VERSION) {
            throw new MalformedDataException("version " + version + ", spoken here is " + VERSION);
        }
        return new Hello(in.among(PARTS), in.eight(), in.text(), in.text(), in.text());
    }

    private static void writeAnnounce(ByteWriter out, Announce s) {
        out.one(ANNOUNCE).eight(s.term()).eight(s.rev());
        writeVersion(out, s.hostListVersion());
        out.flag(s.fresh()).flag(s.leader()).four(s.coreAddresses().size());
        s.coreAddresses().forEach(out::text);
        out.four(s.edgeCount());
    }

    private static Announce readAnnounce(ByteReader in) throws MalformedDataException {
        return new Announce(in.eight(), in.eight(), readVersion(in), in.flag(), in.flag(), readTexts(in), in.four());
    }

    private static List<String> readTexts(ByteReader in) throws MalformedDataException {
        List<String> texts = new ArrayList<>();
        for (int i = in.count(Integer.BYTES); i > 0; i--) {
            texts.add(in.text());
        }
        return texts;
    }

    private static void writeVersion(ByteWriter out, HostListVersion version) {
        out.eight(version.term()).eight(version.count());
    }

    private static HostListVersion readVersion(ByteReader in) {
        return new HostListVersion(in.eight(), in.eight());
    }

    private static void writeHosts(ByteWriter out, List<HostList.Host> hosts) {
        out.four(hosts.size());
        for (HostList.Host host : hosts) {
            out.text(host.id())
                    .text(host.service())
                    .text(host.address())
                    .text(host.zone())
                    .four(host.slots())
                    .flag(host.draining())
                    .eight(host.warmupMs());
        }
    }

    private static List<HostList.Host> readHosts(ByteReader in) throws MalformedDataException {
        List<HostList.Host> hosts = new ArrayList<>();
        for (int i = in.count(5 * Integer.BYTES + 1 + Long.BYTES); i > 0; i--) {
            hosts.add(new HostList.Host(in.text(), in.text(), in.text(), in.text(), in.four(), in.flag(), in.eight()));
        }
        return hosts;
    }

    private static void writeMessage(ByteWriter out, Message message) {
        if (message instanceof VoteRequest m) {
            out.one(VOTE_REQUEST)
                    .eight(m.term())
                    .flag(m.preVote())
                    .eight(m.lastIndex())
                    .eight(m.lastTerm())
                    .flag(m.leadershipTransfer());
        } else if (message instanceof VoteReply m) {
            out.one(VOTE_REPLY).eight(m.term()).flag(m.preVote()).flag(m.granted());
        } else if (message instanceof Append m) {
            out.one(APPEND)
                    .eight(m.term())
                    .eight(m.previousIndex())
                    .eight(m.previousTerm())
                    .eight(m.leaderCommit())
                    .eight(m.round())
                    .eight(m.echo())
                    .eight(m.leaseMillis())
                    .four(m.entries().size());
            m.entries()
                    .forEach(e -> out.eight(e.index())
                            .eight(e.term())
                            .one((byte) e.kind().ordinal())
                            .bytes(e.body()));
        } else if (message instanceof AppendReply m) {
            out.one(APPEND_REPLY)
                    .eight(m.term())
                    .flag(m.success())
                    .eight(m.index())
                    .eight(m.round())
                    .eight(m.sentAt());
        } else if (message instanceof InstallSnapshot m) {
            Snapshot.Metadata label = m.metadata();
            out.one(INSTALL)
                    .eight(m.term())
                    .eight(m.round())
                    .eight(label.index())
                    .eight(label.term())
                    .bytes(MemberListCodec.encode(label.members()))
                    .four(label.length())
                    .four(label.checksum())
                    .eight(m.sequence())
                    .four(m.offset())
                    .bytes(m.chunk());
        } else if (message instanceof InstallSnapshotReply m) {
            out.one(INSTALL_REPLY)
                    .eight(m.term())
                    .eight(m.index())
                    .four(m.offset())
                    .eight(m.sequence())
                    .eight(m.round());
        } else if (message instanceof TimeoutNow m) {
            out.one(HAND_OVER).eight(m.term());
        } else if (message instanceof LeaseQuery m) {
            out.one(LEASE_QUERY).eight(m.term()).eight(m.incarnation());
        } else if (message instanceof LeaseEnded m) {
            out.one(LEASE_ENDED).eight(m.term()).eight(m.incarnation());
        }
    }

    private static Message readMessage(ByteReader in) throws MalformedDataException {
        byte kind = in.one();
        long term = in.eight();
        return switch (kind) {
            case VOTE_REQUEST -> new VoteRequest(term, in.flag(), in.eight(), in.eight(), in.flag());
            case VOTE_REPLY -> new VoteReply(term, in.flag(), in.flag());
            case APPEND -> readAppend(in, term);
            case APPEND_REPLY -> new AppendReply(term, in.flag(), in.eight(), in.eight(), in.eight());
            case INSTALL -> readInstall(in, term);
            case INSTALL_REPLY -> new InstallSnapshotReply(term, in.eight(), in.four(), in.eight(), in.eight());
            case HAND_OVER -> new TimeoutNow(term);
            case LEASE_QUERY -> new LeaseQuery(term, in.eight());
            case LEASE_ENDED -> new LeaseEnded(term, in.eight());
            default -> throw new MalformedDataException("no message of kind " + kind);
        };
    }

    private static Append readAppend(ByteReader in, long term) throws MalformedDataException {
        long previousIndex = in.eight();
        long previousTerm = in.eight();
        long commit = in.eight();
        long round = in.eight();
        long echo = in.eight();
        long leaseMillis = in.eight();
        return new Append(term, previousIndex, previousTerm, commit, round, readEntries(in), echo, leaseMillis);
    }

    private static List<Entry> readEntries(ByteReader in) throws MalformedDataException {
        List<Entry> entries = new ArrayList<>();
        for (int i = in.count(2 * Long.BYTES + 1 + Integer.BYTES); i > 0; i--) {
            entries.add(new Entry(in.eight(), in.eight(), in.among(KINDS), in.bytes()));
        }
        return entries;
    }

    private static InstallSnapshot readInstall(ByteReader in, long term) throws MalformedDataException {
        long round = in.eight();
        long index = in.eight();
        long itsTerm = in.eight();
        Snapshot.Metadata label =
                new Snapshot.Metadata(index, itsTerm, MemberListCodec.decode(in.bytes()), in.four(), in.four());
        long number = in.eight();
        return new InstallSnapshot(term, label, in.four(), in.bytes(), number, round);
    }
}
