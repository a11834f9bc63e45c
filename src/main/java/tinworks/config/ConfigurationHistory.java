package tinworks.config;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The versions of the configuration: the replicated state machine that the Raft log drives. It is deterministic: equal
 * commands in equal order give equal verdicts on every member. Of older versions only a digest is kept, so that a
 * retried call is recognized ({@link AcceptedVersions}).
 */
public final class ConfigurationHistory {
    /** The outcome of a command. */
    public enum Verdict {
        /** Exactly this configuration has been accepted; it is or was in force. */
        ACCEPTED,
        /** Its base is not the current version. */
        CONFLICT,
        /** Its version is not above its base. */
        VERSION_NOT_INCREASED,
        /** Unknown whether it was accepted: its version is older than the deduplication window. */
        OUTSIDE_WINDOW
    }

    private static final int DIGEST_BYTES = 32;
    private static final int HEADER_BYTES = 2 * Long.BYTES + DIGEST_BYTES;
    /** The largest configuration that is accepted, uncompressed. */
    public static final int MAX_BODY_BYTES = 8 << 20;
    /** The format version, the first byte that {@link #save} writes. */
    private static final byte FORMAT = 1;

    private AcceptedVersions accepted;
    private long rev;
    /** The configuration in force as {@link CompressedBytes}; empty if there is none. */
    private byte[] compressedBody = {};

    /** Creates a history without a version. */
    public ConfigurationHistory() {
        this(new AcceptedVersions());
    }

    ConfigurationHistory(AcceptedVersions accepted) {
        this.accepted = accepted;
    }

    /** Encodes a command, as {@link #command(long, long, ByteBuffer...)}. */
    public static byte[] command(long base, long rev, byte[] body) {
        return command(base, rev, ByteBuffer.wrap(body));
    }

    /**
     * Encodes a command: its base version, its own version, a digest of both and of the configuration as sent, and that
     * configuration as {@link CompressedBytes}. Encoded once, by the node that receives the call; the positions of the
     * body's buffers do not change.
     */
    public static byte[] command(long base, long rev, ByteBuffer... body) {
        byte[] compressed = CompressedBytes.compress(body);
        ByteBuffer command = ByteBuffer.allocate(HEADER_BYTES + compressed.length)
                .putLong(base)
                .putLong(rev);
        return command.put(digest(base, rev, body)).put(compressed).array();
    }

    /** The base version of a command. */
    public static long base(byte[] command) {
        return ByteBuffer.wrap(command).getLong();
    }

    /** The version that a command sets. */
    public static long rev(byte[] command) {
        return ByteBuffer.wrap(command).getLong(Long.BYTES);
    }

    /** Applies a command. */
    public Verdict apply(byte[] command) {
        long next = rev(command);
        Verdict verdict = evaluate(base(command), next, command);
        if (verdict == Verdict.ACCEPTED && next > rev) {
            rev = next;
            compressedBody = Arrays.copyOfRange(command, HEADER_BYTES, command.length);
            accepted.add(next, digest(command));
        }
        return verdict;
    }

    /** The verdict that a command would get now, without applying it. */
    public Verdict evaluate(long base, long next, byte[] command) {
        if (accepted.contains(next, digest(command))) {
            return Verdict.ACCEPTED;
        }
        // Such a command was never accepted and never can be.
        if (next <= base) {
            return Verdict.VERSION_NOT_INCREASED;
        }
        // It may have been accepted and evicted since, so it must not be rejected as a conflict.
        if (next <= accepted.highestEvicted()) {
            return Verdict.OUTSIDE_WINDOW;
        }
        return base == rev ? Verdict.ACCEPTED : Verdict.CONFLICT;
    }

    /** The version in force, 0 if there is none yet. */
    public long rev() {
        return rev;
    }

    /** The configuration in force as it was sent, decompressed on each call; empty if there is none yet. */
    public byte[] body() {
        return rev == 0 ? new byte[0] : CompressedBytes.decompress(compressedBody, MAX_BODY_BYTES);
    }

    /**
     * The configuration in force as {@link CompressedBytes}; empty if there is none yet. Callers must not modify it.
     */
    public byte[] compressedBody() {
        return compressedBody;
    }

    /**
     * Serializes the history: the format (1 byte), the version (8), the length of the compressed body (4), the body,
     * and the accepted versions.
     */
    public byte[] save() {
        ByteBuffer out =
                ByteBuffer.allocate(1 + Long.BYTES + Integer.BYTES + compressedBody.length + accepted.savedBytes());
        out.put(FORMAT).putLong(rev).putInt(compressedBody.length).put(compressedBody);
        accepted.save(out);
        return out.array();
    }

    /** Replaces the state with a saved one. Throws an {@link IllegalArgumentException} if it cannot be decoded. */
    public void load(byte[] saved) {
        ByteBuffer in = ByteBuffer.wrap(saved);
        try {
            byte format = in.get();
            if (format != FORMAT) {
                throw new IllegalArgumentException("history: format " + format + ", supported is " + FORMAT);
            }
            long savedRev = in.getLong();
            int length = in.getInt();
            if (length < 0 || length > in.remaining()) {
                throw new IllegalArgumentException("history: invalid length " + length);
            }
            byte[] savedBody = new byte[length];
            in.get(savedBody);
            accepted = accepted.load(in);
            rev = savedRev;
            compressedBody = savedBody;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("history: truncated", e);
        }
    }

    private static byte[] digest(byte[] command) {
        return Arrays.copyOfRange(command, 2 * Long.BYTES, HEADER_BYTES);
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
