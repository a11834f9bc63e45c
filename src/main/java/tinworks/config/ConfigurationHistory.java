package tinworks.config;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The versions of the configuration: the state machine that the agreed log drives. Equal commands in equal order
 * give equal verdicts at every member. Of older versions only a digest is kept, so that a call that is repeated is
 * known again.
 */
public final class ConfigurationHistory {
    /** What became of a command. */
    public enum Verdict {
        /** It is in force, or was: this very configuration has been taken. */
        TAKEN,
        /** It was built on a version that is not the current one. */
        CONFLICT,
        /** It was built on the current version, and its number isn't above it. */
        NOT_ABOVE
    }

    /** A call's repeat comes within seconds; so many versions don't. */
    private static final int KEPT_DIGESTS = 256;
    private static final int DIGEST_BYTES = 32;
    private static final int ENTRY_BYTES = Long.BYTES + DIGEST_BYTES;
    private static final int HEAD_BYTES = 2 * Long.BYTES + DIGEST_BYTES;
    /** The longest configuration that is taken, as the operator sends it. */
    public static final int LONGEST_BODY = 8 << 20;

    private final Map<Long, byte[]> taken = new LinkedHashMap<>();
    private long rev;
    /** The version in force, {@link Packed}; empty where there is none. */
    private byte[] packed = { };

    /** The bytes of a command: {@link #command(long, long, ByteBuffer...)}. */
    public static byte[] command(long base, long rev, byte[] body) {
        return command(base, rev, ByteBuffer.wrap(body));
    }

    /**
     * The bytes of a command: the version it builds on, its own, a digest of both and of the configuration as it was sent, and
     * that configuration {@link Packed}. Made once, where the call arrives; the body's parts are left as they were.
     */
    public static byte[] command(long base, long rev, ByteBuffer... body) {
        byte[] packed = Packed.pack(body);
        ByteBuffer command = ByteBuffer.allocate(HEAD_BYTES + packed.length).putLong(base).putLong(rev);
        return command.put(digest(base, rev, body)).put(packed).array();
    }

    /** The version that a command builds on. */
    public static long base(byte[] command) {
        return ByteBuffer.wrap(command).getLong();
    }

    /** A command's own version. */
    public static long rev(byte[] command) {
        return ByteBuffer.wrap(command).getLong(Long.BYTES);
    }

    /** Carries out a command. */
    public Verdict apply(byte[] command) {
        long next = rev(command);
        Verdict verdict = judge(base(command), next, command);
        if (verdict == Verdict.TAKEN && next > rev) {
            rev = next;
            packed = Arrays.copyOfRange(command, HEAD_BYTES, command.length);
            taken.put(next, digest(command));
            Iterator<Long> oldest = taken.keySet().iterator();
            while (taken.size() > KEPT_DIGESTS) {
                oldest.next();
                oldest.remove();
            }
        }
        return verdict;
    }

    /** What would become of a command now. */
    public Verdict judge(long base, long next, byte[] command) {
        if (Arrays.equals(taken.get(next), digest(command))) {
            return Verdict.TAKEN;
        }
        if (base != rev) {
            return Verdict.CONFLICT;
        }
        return next > rev ? Verdict.TAKEN : Verdict.NOT_ABOVE;
    }

    /** The number of the version in force, 0 where there is none yet. */
    public long rev() {
        return rev;
    }

    /** The version in force as it was sent, unpacked for the caller; empty where there is none yet. */
    public byte[] body() {
        return rev == 0 ? new byte[0] : Packed.unpack(packed, LONGEST_BODY);
    }

    /** The version in force, {@link Packed}; empty where there is none yet. The caller doesn't write to it. */
    public byte[] packed() {
        return packed;
    }

    /** The whole as bytes: the version, the packed body behind its length, then the digests. */
    public byte[] save() {
        ByteBuffer out = ByteBuffer.allocate(Long.BYTES + 2 * Integer.BYTES + packed.length + taken.size() * ENTRY_BYTES);
        out.putLong(rev).putInt(packed.length).put(packed).putInt(taken.size());
        taken.forEach((version, digest) -> out.putLong(version).put(digest));
        return out.array();
    }

    /** Puts what was saved in place of all; what can't be read is an {@link IllegalArgumentException}. */
    public void load(byte[] saved) {
        ByteBuffer in = ByteBuffer.wrap(saved);
        try {
            long savedRev = in.getLong();
            byte[] savedBody = new byte[length(in, 1)];
            in.get(savedBody);
            int digests = length(in, ENTRY_BYTES);
            taken.clear();
            for (int i = 0; i < digests; i++) {
                long version = in.getLong();
                byte[] digest = new byte[DIGEST_BYTES];
                in.get(digest);
                taken.put(version, digest);
            }
            rev = savedRev;
            packed = savedBody;
        } catch (java.nio.BufferUnderflowException e) {
            throw new IllegalArgumentException("history: cut short", e);
        }
    }

    private static int length(ByteBuffer in, int each) {
        int length = in.getInt();
        if (length < 0 || length > in.remaining() / each) {
            throw new IllegalArgumentException("history: a length of " + length);
        }
        return length;
    }

    private static byte[] digest(byte[] command) {
        return Arrays.copyOfRange(command, 2 * Long.BYTES, HEAD_BYTES);
    }

    private static byte[] digest(long base, long rev, ByteBuffer... body) {
        try {
            MessageDigest sum = MessageDigest.getInstance("SHA-256");
            sum.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(base).putLong(rev).flip());
            for (ByteBuffer part : body) {
                sum.update(part.duplicate());
            }
            return sum.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
