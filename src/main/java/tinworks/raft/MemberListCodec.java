package tinworks.raft;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Encodes a list of members as a count, then for each member its id, address length and address. */
public final class MemberListCodec {
    private static final int MAX_MEMBERS = 64;
    private static final int MAX_ADDRESS_BYTES = 64;

    private MemberListCodec() {}

    /** Encodes a list of members. */
    public static byte[] encode(List<Member> members) {
        ByteBuffer out =
                ByteBuffer.allocate(Integer.BYTES + members.size() * (Long.BYTES + Integer.BYTES + MAX_ADDRESS_BYTES));
        out.putInt(members.size());
        for (Member member : members) {
            byte[] address = member.address().getBytes(StandardCharsets.UTF_8);
            out.putLong(member.id()).putInt(address.length).put(address);
        }
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /** Decodes the output of {@link #encode}; any other input throws an {@link IllegalArgumentException}. */
    public static List<Member> decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<Member> members = decode(in);
        require(!in.hasRemaining(), "trailing bytes", in.remaining());
        return members;
    }

    /** Decodes one list and leaves the buffer positioned after it. */
    static List<Member> decode(ByteBuffer in) {
        List<Member> members = new ArrayList<>();
        int count = in.remaining() < Integer.BYTES ? -1 : in.getInt();
        require(count >= 0 && count <= MAX_MEMBERS, "member count", count);
        for (int i = 0; i < count; i++) {
            require(in.remaining() >= Long.BYTES + Integer.BYTES, "remaining bytes", in.remaining());
            long id = in.getLong();
            int length = in.getInt();
            require(length >= 0 && length <= Math.min(MAX_ADDRESS_BYTES, in.remaining()), "address length", length);
            byte[] address = new byte[length];
            in.get(address);
            members.add(new Member(id, new String(address, StandardCharsets.UTF_8)));
        }
        return List.copyOf(members);
    }

    private static void require(boolean holds, String what, int value) {
        if (!holds) {
            throw new IllegalArgumentException("malformed member list: " + what + " " + value);
        }
    }
}
