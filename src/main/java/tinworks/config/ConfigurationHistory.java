package tinworks.config;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The versions of the configuration: the state machine that the agreed log drives. Equal commands in equal order give
 * equal verdicts at every member. Of older versions only a digest is kept, so that a call that is repeated is known
 * again ({@link AcceptedVersions}).
 */
public final class ConfigurationHistory {
    /** What became of a command. */
    public enum Verdict {
        /** It is in force, or was: this very configuration has been taken. */
        ACCEPTED,
        /** It was built on a version that is not the current one. */
        CONFLICT,
        /** Its number isn't above the version that it was built on. */
        VERSION_NOT_INCREASED,
        /** It may have been taken: its number is among those that are no longer known. */
        OUTSIDE_WINDOW
    }

    private static final int DIGEST_BYTES = 32;
    private static final int HEAD_BYTES = 2 * Long.BYTES + DIGEST_BYTES;
    /** The longest configuration that is taken, as the operator sends it. */
    public static final int MAX_BODY_BYTES = 8 << 20;
    /** The first byte of what {@link #save} writes. */
    private static final byte FORMAT = 1;

    private AcceptedVersions taken;
    private long rev;
    /** The version in force, {@link CompressedBytes}; empty where there is none. */
    private byte[] packed = {};

    /** Before the first version. */
    public ConfigurationHistory() {
        this(new AcceptedVersions());
    }

    ConfigurationHistory(AcceptedVersions taken) {
        this.taken = taken;
    }

    /** The bytes of a command: {@link #command(long, long, ByteBuffer...)}. */
    public static byte[] command(long base, long rev, byte[] body) {
        return command(base, rev, ByteBuffer.wrap(body));
    }

    /**
     * The bytes of a command: the version it builds on, its own, a digest of both and of the configuration as it was
     * sent, and that configuration {@link CompressedBytes}. Made once, where the call arrives; the body's parts are
     * left as they were.
     */
    public static byte[] command(long base, long rev, ByteBuffer... body) {
        byte[] packed = CompressedBytes.compress(body);
        ByteBuffer command =
                ByteBuffer.allocate(HEAD_BYTES + packed.length).putLong(base).putLong(rev);
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
        Verdict verdict = evaluate(base(command), next, command);
        if (verdict == Verdict.ACCEPTED && next > rev) {
            rev = next;
            packed = Arrays.copyOfRange(command, HEAD_BYTES, command.length);
            taken.add(next, digest(command));
        }
        return verdict;
    }

    /** What would become of a command now. */
    public Verdict evaluate(long base, long next, byte[] command) {
        if (taken.has(next, digest(command))) {
            return Verdict.ACCEPTED;
        }
        // It never was, and never can be.
        if (next <= base) {
            return Verdict.VERSION_NOT_INCREASED;
        }
        // Guards against refusing what was taken long ago.
        if (next <= taken.forgotten()) {
            return Verdict.OUTSIDE_WINDOW;
        }
        return base == rev ? Verdict.ACCEPTED : Verdict.CONFLICT;
    }

    /** The number of the version in force, 0 where there is none yet. */
    public long rev() {
        return rev;
    }

    /** The version in force as it was sent, unpacked for the caller; empty where there is none yet. */
    public byte[] body() {
        return rev == 0 ? new byte[0] : CompressedBytes.decompress(packed, MAX_BODY_BYTES);
    }

    /** The version in force, {@link CompressedBytes}; empty where there is none yet. The caller doesn't write to it. */
    public byte[] compressedBody() {
        return packed;
    }

    /**
     * The whole as bytes: their format (1), the version (8), the packed body behind its length (4), then what was
     * taken.
     */
    public byte[] save() {
        ByteBuffer out = ByteBuffer.allocate(1 + Long.BYTES + Integer.BYTES + packed.length + taken.bytes());
        out.put(FORMAT).putLong(rev).putInt(packed.length).put(packed);
        taken.save(out);
        return out.array();
    }

    /** Puts what was saved in place of all; what can't be read is an {@link IllegalArgumentException}. */
    public void load(byte[] saved) {
        ByteBuffer in = ByteBuffer.wrap(saved);
        try {
            byte format = in.get();
            if (format != FORMAT) {
                throw new IllegalArgumentException("history: format " + format + ", known here is " + FORMAT);
            }
            long savedRev = in.getLong();
            int length = in.getInt();
            if (length < 0 || length > in.remaining()) {
                throw new IllegalArgumentException("history: a length of " + length);
            }
            byte[] savedBody = new byte[length];
            in.get(savedBody);
            taken = taken.load(in);
            rev = savedRev;
            packed = savedBody;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("history: cut short", e);
        }
    }

    private static byte[] digest(byte[] command) {
        return Arrays.copyOfRange(command, 2 * Long.BYTES, HEAD_BYTES);
    }

    private static byte[] digest(long base, long rev, ByteBuffer... body) {
        try {
            MessageDigest sum = MessageDigest.getInstance("SHA-256");
            sum.update(ByteBuffer.allocate(2 * Long.BYTES)
                    .putLong(base)
                    .putLong(rev)
                    .flip());
            for (ByteBuffer part : body) {
                sum.update(part.duplicate());
            }
            return sum.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
