package tinworks.raft;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * The voters of the cluster. During a membership change by joint consensus, decisions need a majority of the new voters
 * and a majority of the old ones; a member of both lists counts in both.
 *
 * <p>The encoding is the current list as written by {@link MemberListCodec}, followed during a change by the outgoing
 * list. Entries that were written before joint consensus was introduced have one list only and remain readable.
 *
 * @param current the voters, or during a change the new voters
 * @param outgoing the old voters during a change, otherwise empty
 */
public record Voters(List<Member> current, List<Member> outgoing) {
    /** Copies the lists. */
    public Voters {
        current = List.copyOf(current);
        outgoing = List.copyOf(outgoing);
    }

    /** Creates voters without a change in progress. */
    static Voters of(List<Member> current) {
        return new Voters(current, List.of());
    }

    /** Returns whether a membership change is in progress. */
    public boolean isJoint() {
        return !outgoing.isEmpty();
    }

    /** Returns the members of both lists, each once. */
    List<Member> all() {
        if (!isJoint()) {
            return current;
        }
        List<Member> all = new ArrayList<>(current);
        outgoing.stream().filter(m -> !all.contains(m)).forEach(all::add);
        return List.copyOf(all);
    }

    /** Returns the highest value that a majority has reached; during a change, a majority of each list. */
    long quorumValue(ToLongFunction<Member> value) {
        long reached = quorumValue(current, value);
        return isJoint() ? Math.min(reached, quorumValue(outgoing, value)) : reached;
    }

    private static long quorumValue(List<Member> members, ToLongFunction<Member> value) {
        long[] values = members.stream().mapToLong(value).sorted().toArray();
        return values.length == 0 ? Long.MIN_VALUE : values[(values.length - 1) / 2];
    }

    /** Encodes the voters. */
    public byte[] encode() {
        byte[] first = MemberListCodec.encode(current);
        if (!isJoint()) {
            return first;
        }
        byte[] second = MemberListCodec.encode(outgoing);
        return ByteBuffer.allocate(first.length + second.length)
                .put(first)
                .put(second)
                .array();
    }

    /** Decodes the output of {@link #encode}; any other input throws an {@link IllegalArgumentException}. */
    public static Voters decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<Member> current = MemberListCodec.decode(in);
        if (!in.hasRemaining()) {
            return of(current);
        }
        List<Member> outgoing = MemberListCodec.decode(in);
        if (outgoing.isEmpty() || in.hasRemaining()) {
            throw new IllegalArgumentException(
                    "voters: " + outgoing.size() + " outgoing, " + in.remaining() + " trailing bytes");
        }
        return new Voters(current, outgoing);
    }
}
