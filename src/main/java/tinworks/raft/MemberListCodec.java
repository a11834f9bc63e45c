package tinworks.raft;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The bytes of a list of voters: a count, then for each an id, and an address behind its length. */
public final class MemberListCodec {
    private static final int MOST = 64;
    private static final int LONGEST_ADDRESS = 64;

    private MemberListCodec() {}

    /** The list as bytes. */
    public static byte[] encode(List<Member> members) {
        ByteBuffer out =
                ByteBuffer.allocate(Integer.BYTES + members.size() * (Long.BYTES + Integer.BYTES + LONGEST_ADDRESS));
        out.putInt(members.size());
        for (Member member : members) {
            byte[] address = member.address().getBytes(StandardCharsets.UTF_8);
            out.putLong(member.id()).putInt(address.length).put(address);
        }
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /** Reads what {@link #encode} wrote; anything else is an {@link IllegalArgumentException}. */
    public static List<Member> decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<Member> members = decode(in);
        require(!in.hasRemaining(), "bytes left over", in.remaining());
        return members;
    }

    /** Reads one list and leaves what stands behind it. */
    static List<Member> decode(ByteBuffer in) {
        List<Member> members = new ArrayList<>();
        int count = in.remaining() < Integer.BYTES ? -1 : in.getInt();
        require(count >= 0 && count <= MOST, "voters", count);
        for (int i = 0; i < count; i++) {
            require(in.remaining() >= Long.BYTES + Integer.BYTES, "bytes left", in.remaining());
            long id = in.getLong();
            int length = in.getInt();
            require(length >= 0 && length <= Math.min(LONGEST_ADDRESS, in.remaining()), "address length", length);
            byte[] address = new byte[length];
            in.get(address);
            members.add(new Member(id, new String(address, StandardCharsets.UTF_8)));
        }
        return List.copyOf(members);
    }

    private static void require(boolean holds, String what, int value) {
        if (!holds) {
            throw new IllegalArgumentException("members: " + what + " can't be " + value);
        }
    }
}
