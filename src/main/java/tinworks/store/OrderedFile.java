package tinworks.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import org.h2.store.fs.FileBase;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * A file of MVStore's, written in an order that no loss of power can turn round. MVStore takes a chunk for whole that has
 * a head and a footer, whatever lies between. So a chunk is written up to its footer and synced, and the footer after that:
 * a chunk that has one is whole, and so is all that was written before it. The file's header names a chunk, and is written
 * once that is synced. Public as MVStore makes instances of it.
 */
public final class OrderedFile extends FilePathWrapper {
    /** What stands before a file's path. */
    static final String SCHEME = "ordered";
    private static final int FOOTER = 128;

    static {
        FilePath.register(new OrderedFile());
    }

    /** The path that MVStore opens the file of this path by. */
    static String path(String path) {
        return SCHEME + ":" + path;
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

        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            int length = from.remaining();
            if (position > 0) {
                ByteBuffer body = from.slice(from.position(), length - FOOTER);
                writeAll(body, position);
                from.position(from.position() + body.limit());
            }
            file.force(false);
            writeAll(from, position + length - from.remaining());
            return length;
        }

        private void writeAll(ByteBuffer from, long position) throws IOException {
            long at = position;
            while (from.hasRemaining()) {
                at += file.write(from, at);
            }
        }

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
        public void force(boolean lengthToo) throws IOException {
            file.force(lengthToo);
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) throws IOException {
            return file.tryLock(position, size, shared);
        }

        @Override
        protected void implCloseChannel() throws IOException {
            file.close();
        }
    }
}
