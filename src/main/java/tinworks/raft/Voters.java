package tinworks.raft;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Who votes. While a change is under way, both the voters to come and those before have to agree, each by a majority of
 * its own; whoever stands in both lists counts in both.
 *
 * <p>Its bytes are a list as {@link MemberListCodec} writes it, and while a change is under way a second one behind it,
 * of those before. The bytes of an entry from before there were two lists are therefore read as ever.
 *
 * @param current who votes, or is about to
 * @param outgoing who voted before the change that is under way, empty where none is
 */
public record Voters(List<Member> current, List<Member> outgoing) {
    /** Keeps its own lists. */
    public Voters {
        current = List.copyOf(current);
        outgoing = List.copyOf(outgoing);
    }

    /** With no change under way. */
    static Voters of(List<Member> current) {
        return new Voters(current, List.of());
    }

    /** Whether a change is under way. */
    public boolean joint() {
        return !outgoing.isEmpty();
    }

    /** All that have a vote, each once. */
    List<Member> all() {
        if (!joint()) {
            return current;
        }
        List<Member> all = new ArrayList<>(current);
        outgoing.stream().filter(m -> !all.contains(m)).forEach(all::add);
        return List.copyOf(all);
    }

    /** The highest value that a majority has reached, of either list while a change is under way. */
    long agreed(ToLongFunction<Member> value) {
        long reached = agreed(current, value);
        return joint() ? Math.min(reached, agreed(outgoing, value)) : reached;
    }

    private static long agreed(List<Member> members, ToLongFunction<Member> value) {
        long[] values = members.stream().mapToLong(value).sorted().toArray();
        return values.length == 0 ? Long.MIN_VALUE : values[(values.length - 1) / 2];
    }

    /** As bytes. */
    public byte[] encode() {
        byte[] first = MemberListCodec.encode(current);
        if (!joint()) {
            return first;
        }
        byte[] second = MemberListCodec.encode(outgoing);
        return ByteBuffer.allocate(first.length + second.length)
                .put(first)
                .put(second)
                .array();
    }

    /** Reads what {@link #encode} wrote; anything else is an {@link IllegalArgumentException}. */
    public static Voters decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<Member> current = MemberListCodec.decode(in);
        if (!in.hasRemaining()) {
            return of(current);
        }
        List<Member> outgoing = MemberListCodec.decode(in);
        if (outgoing.isEmpty() || in.hasRemaining()) {
            throw new IllegalArgumentException(
                    "voters: " + outgoing.size() + " outgoing, " + in.remaining() + " bytes left over");
        }
        return new Voters(current, outgoing);
    }
}
