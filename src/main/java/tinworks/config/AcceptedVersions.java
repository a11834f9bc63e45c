package tinworks.config;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The deduplication window: the latest accepted versions, each with the first bytes of its command's digest, by which a
 * retried call is recognized. Of evicted versions only the highest is kept: whether a call for it or a lower version
 * was accepted is unknown, so such a call gets no definite answer.
 */
class AcceptedVersions {
    /** Digest prefix that is kept; long enough that two commands of one version do not collide by chance. */
    static final int DIGEST_BYTES = 16;

    static final int ENTRY_BYTES = Long.BYTES + DIGEST_BYTES;
    /**
     * A caller retries until it gets a definite answer, which takes seconds once a leader can be reached. This many
     * changes take 1.7 days at 4,600 a day, and four minutes at 35 a second, the most that one caller gets through
     * without a pause.
     */
    private static final int MAX_VERSIONS = 8_192;

    private static final int INITIAL_CAPACITY = 64;

    private final int maxVersions;
    private long[] revs = new long[INITIAL_CAPACITY];
    private byte[] digests = new byte[INITIAL_CAPACITY * DIGEST_BYTES];
    private int count;
    private long highestEvicted;

    AcceptedVersions() {
        this(MAX_VERSIONS);
    }

    AcceptedVersions(int maxVersions) {
        this.maxVersions = maxVersions;
    }

    /** Whether exactly this command was accepted; unknown for versions up to {@link #highestEvicted}. */
    boolean contains(long rev, byte[] digest) {
        int index = Arrays.binarySearch(revs, 0, count, rev);
        return index >= 0
                && Arrays.equals(digests, index * DIGEST_BYTES, (index + 1) * DIGEST_BYTES, digest, 0, DIGEST_BYTES);
    }

    /** The highest version that was evicted, 0 if none was. */
    long highestEvicted() {
        return highestEvicted;
    }

    /** Adds a version above all others, and evicts the oldest if the window is full. */
    void add(long rev, byte[] digest) {
        if (count == maxVersions) {
            highestEvicted = revs[0];
            count--;
            System.arraycopy(revs, 1, revs, 0, count);
            System.arraycopy(digests, DIGEST_BYTES, digests, 0, count * DIGEST_BYTES);
        } else if (count == revs.length) {
            revs = Arrays.copyOf(revs, Math.min(maxVersions, 2 * count));
            digests = Arrays.copyOf(digests, revs.length * DIGEST_BYTES);
        }
        revs[count] = rev;
        System.arraycopy(digest, 0, digests, count * DIGEST_BYTES, DIGEST_BYTES);
        count++;
    }

    /** The number of bytes that {@link #save} writes. */
    int savedBytes() {
        return Long.BYTES + Integer.BYTES + count * ENTRY_BYTES;
    }

    /**
     * Writes the highest evicted version (8), the count (4), the versions (8 each, ascending), the digests (16 each).
     */
    void save(ByteBuffer out) {
        out.putLong(highestEvicted).putInt(count);
        out.asLongBuffer().put(revs, 0, count);
        out.position(out.position() + count * Long.BYTES).put(digests, 0, count * DIGEST_BYTES);
    }

    /** Reads what {@link #save} wrote, with this window's size. Throws {@link IllegalArgumentException} if invalid. */
    AcceptedVersions load(ByteBuffer in) {
        AcceptedVersions loaded = new AcceptedVersions(maxVersions);
        long evicted = in.getLong();
        int saved = in.getInt();
        if (evicted < 0 || saved < 0 || saved > in.remaining() / ENTRY_BYTES) {
            throw new IllegalArgumentException("history: " + saved + " versions after " + evicted);
        }
        loaded.highestEvicted = evicted;
        ByteBuffer savedDigests = in.duplicate().position(in.position() + saved * Long.BYTES);
        byte[] digest = new byte[DIGEST_BYTES];
        for (long last = evicted; saved > 0; saved--) {
            long rev = in.getLong();
            if (rev <= last) {
                throw new IllegalArgumentException("history: version " + rev + " after " + last);
            }
            savedDigests.get(digest);
            loaded.add(rev, digest);
            last = rev;
        }
        in.position(savedDigests.position());
        return loaded;
    }
}
