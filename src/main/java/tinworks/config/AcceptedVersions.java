package tinworks.config;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The latest versions that were taken, each with the first bytes of its command's digest: what a repeated call is known
 * by. Of what is older only the highest number is kept, so that nothing is said of a call that may have been taken and
 * forgotten.
 */
class AcceptedVersions {
    /** Of a digest: no two commands under one number are alike in as many bits by chance. */
    static final int DIGEST_BYTES = 16;

    static final int ENTRY_BYTES = Long.BYTES + DIGEST_BYTES;
    /**
     * A call is repeated until it has a clear answer, seconds after the first leader that can be reached. So many
     * changes take 1.7 days at 4,600 a day, and four minutes at the 35 a second that one caller gets through without a
     * pause.
     */
    private static final int MOST = 8_192;

    private static final int FIRST_ROOM = 64;

    private final int most;
    private long[] revs = new long[FIRST_ROOM];
    private byte[] digests = new byte[FIRST_ROOM * DIGEST_BYTES];
    private int count;
    private long forgotten;

    AcceptedVersions() {
        this(MOST);
    }

    AcceptedVersions(int most) {
        this.most = most;
    }

    /** Whether this very command was taken; nothing is known of numbers up to {@link #forgotten}. */
    boolean has(long rev, byte[] digest) {
        int at = Arrays.binarySearch(revs, 0, count, rev);
        return at >= 0 && Arrays.equals(digests, at * DIGEST_BYTES, (at + 1) * DIGEST_BYTES, digest, 0, DIGEST_BYTES);
    }

    /** The highest number that is no longer known, 0 where all are. */
    long forgotten() {
        return forgotten;
    }

    /** Adds a version above all others; the oldest goes where there are too many. */
    void add(long rev, byte[] digest) {
        if (count == most) {
            forgotten = revs[0];
            count--;
            System.arraycopy(revs, 1, revs, 0, count);
            System.arraycopy(digests, DIGEST_BYTES, digests, 0, count * DIGEST_BYTES);
        } else if (count == revs.length) {
            revs = Arrays.copyOf(revs, Math.min(most, 2 * count));
            digests = Arrays.copyOf(digests, revs.length * DIGEST_BYTES);
        }
        revs[count] = rev;
        System.arraycopy(digest, 0, digests, count * DIGEST_BYTES, DIGEST_BYTES);
        count++;
    }

    /** How many bytes {@link #save} writes. */
    int bytes() {
        return Long.BYTES + Integer.BYTES + count * ENTRY_BYTES;
    }

    /** Writes what is forgotten (8), the count (4), the numbers (8 each, rising) and then the digests (16 each). */
    void save(ByteBuffer out) {
        out.putLong(forgotten).putInt(count);
        out.asLongBuffer().put(revs, 0, count);
        out.position(out.position() + count * Long.BYTES).put(digests, 0, count * DIGEST_BYTES);
    }

    /** What {@link #save} wrote, with the bound of this one; an {@link IllegalArgumentException} where it can't be. */
    AcceptedVersions load(ByteBuffer in) {
        AcceptedVersions loaded = new AcceptedVersions(most);
        long lowest = in.getLong();
        int saved = in.getInt();
        if (lowest < 0 || saved < 0 || saved > in.remaining() / ENTRY_BYTES) {
            throw new IllegalArgumentException("history: " + saved + " versions behind " + lowest);
        }
        loaded.forgotten = lowest;
        ByteBuffer itsDigests = in.duplicate().position(in.position() + saved * Long.BYTES);
        byte[] digest = new byte[DIGEST_BYTES];
        for (long last = lowest; saved > 0; saved--) {
            long rev = in.getLong();
            if (rev <= last) {
                throw new IllegalArgumentException("history: version " + rev + " behind " + last);
            }
            itsDigests.get(digest);
            loaded.add(rev, digest);
            last = rev;
        }
        in.position(itsDigests.position());
        return loaded;
    }
}
