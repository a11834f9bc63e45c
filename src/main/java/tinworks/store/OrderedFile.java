package tinworks.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.h2.mvstore.DataUtils;
import org.h2.store.fs.FileBase;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * An MVStore file with write ordering that holds across power loss. MVStore considers a chunk complete if it has a
 * header and a footer, whatever lies between. So each chunk is written up to its footer and synced before the footer is
 * written: a chunk with a footer is complete, and so is everything written before it. The file's header refers to a
 * chunk and is written after that chunk has been synced. Public because MVStore creates instances.
 */
public final class OrderedFile extends FilePathWrapper {
    /** The URI-like prefix of the paths of these files. */
    static final String SCHEME = "ordered";

    private static final int FOOTER_BYTES = 128;
    private static final int BLOCK_BYTES = 4096;
    private static final int HEADER_BYTES = 2 * BLOCK_BYTES;
    private static final int HEX_RADIX = 16;
    /**
     * The footer as MVStore parses it. Trailing blanks and control bytes are ignored, so a torn footer that lacks only
     * those is valid.
     */
    private static final Pattern FOOTER_PATTERN = Pattern.compile(
            "(chunk:[0-9a-f]{1,8},len:[0-9a-f]{1,8},version:([0-9a-f]{1,15})),fletcher:([0-9a-f]{1,8})[\\x00-\\x20]*");

    static {
        FilePath.register(new OrderedFile());
    }

    /** The path by which MVStore opens the given file with write ordering. */
    static String path(String path) {
        return SCHEME + ":" + path;
    }

    /** The end offset and version of a chunk; both are 0 if there is none. */
    private record Footer(long endOffset, long version) {}

    /**
     * The version of the last chunk with a valid footer, 0 if there is none. Files are append-only, so it is the newest
     * complete chunk; if MVStore opens an older version, the newest has been corrupted since.
     */
    static long newestVersion(String path) throws IOException {
        try (FileChannel file = FilePath.get(path).open("r")) {
            return lastFooter(file).version;
        }
    }

    private static Footer lastFooter(FileChannel file) throws IOException {
        ByteBuffer footer = ByteBuffer.allocate(FOOTER_BYTES);
        for (long end = file.size() / BLOCK_BYTES * BLOCK_BYTES; end > HEADER_BYTES; end -= BLOCK_BYTES) {
            footer.clear();
            for (int count = 0; footer.hasRemaining() && count >= 0; ) {
                count = file.read(footer, end - FOOTER_BYTES + footer.position());
            }
            Matcher matcher = FOOTER_PATTERN.matcher(new String(footer.array(), StandardCharsets.ISO_8859_1));
            if (matcher.matches()
                    && DataUtils.getFletcher32(footer.array(), 0, matcher.end(1))
                            == Integer.parseUnsignedInt(matcher.group(3), HEX_RADIX)) {
                return new Footer(end, Long.parseUnsignedLong(matcher.group(2), HEX_RADIX));
            }
        }
        return new Footer(0, 0);
    }

    @Override
    public String getScheme() {
        return SCHEME;
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        return new Channel(getBase().open(mode));
    }

    private static final class Channel extends FileBase {
        private final FileChannel file;

        Channel(FileChannel file) {
            this.file = file;
        }

        @SuppressWarnings(
                "UnsynchronizedOverridesSynchronized") // Safe unsynchronized: the shared position is not moved.
        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            int length = from.remaining();
            if (position > 0) {
                ByteBuffer body = from.slice(from.position(), length - FOOTER_BYTES);
                writeAll(body, position);
                from.position(from.position() + body.limit());
            }
            file.force(false);
            writeAll(from, position + length - from.remaining());
            return length;
        }

        private void writeAll(ByteBuffer from, long position) throws IOException {
            long offset = position;
            while (from.hasRemaining()) {
                offset += file.write(from, offset);
            }
        }

        @SuppressWarnings(
                "UnsynchronizedOverridesSynchronized") // Safe unsynchronized: the shared position is not moved.
        @Override
        public int read(ByteBuffer into, long position) throws IOException {
            return file.read(into, position);
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            return file.read(into);
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            int length = write(from, position());
            position(position() + length);
            return length;
        }

        @Override
        public long position() throws IOException {
            return file.position();
        }

        @Override
        public FileChannel position(long position) throws IOException {
            file.position(position);
            return this;
        }

        @Override
        public long size() throws IOException {
            return file.size();
        }

        @Override
        public FileChannel truncate(long size) throws IOException {
            file.truncate(size);
            return this;
        }

        @Override
        public void force(boolean withLength) throws IOException {
            file.force(withLength);
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) throws IOException {
            FileLock lock = file.tryLock(position, size, shared);
            long end = lock == null ? 0 : lastFooter(file).endOffset;
            if (end > 0 && end < file.size()) {
                // The rest of a torn write may contain part of a footer, which must not end up after the header
                // of a new chunk.
                file.truncate(end);
                file.force(true);
            }
            return lock;
        }

        @Override
        protected void implCloseChannel() throws IOException {
            file.close();
        }
    }
}
