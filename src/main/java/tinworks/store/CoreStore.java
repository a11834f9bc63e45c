package tinworks.store;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import org.h2.mvstore.Cursor;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.LongDataType;
import org.h2.mvstore.type.StringDataType;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.MemberListCodec;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;

/**
 * Durable storage of a core node: its identity and its Raft state (hard state, snapshot and log). Each record has a
 * checksum in addition to MVStore's. All methods block on the disk; confined to one thread.
 *
 * <p>Records are big-endian, each preceded by the CRC-32C of the rest (4 bytes). {@code meta/identity}: id (8).
 * {@code meta/hard}: term (8), vote (8), the last leader followed (8, absent in older stores). {@code meta/snapshot}:
 * index (8), term (8), length (4) and bytes of the member list, the state. {@code log}, by index: term (8), kind (1),
 * body. {@code meta/sum}: a checksum over the keys and checksums of all other records (4).
 *
 * <p>Files are append-only: {@code state.mv} is rewritten to {@code state-1.mv} and so on when it has grown too large.
 * {@code founding.mv} is a store whose initialization was interrupted, {@code damaged-...mv} one that was quarantined.
 */
public final class CoreStore implements AutoCloseable {
    /** Thrown when the contents of a store are corrupt. */
    public static final class CorruptStoreException extends Exception {
        private static final long serialVersionUID = 1L;

        CorruptStoreException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    private static final String INITIALIZING_FILE = "founding.mv";
    private static final String QUARANTINE_PREFIX = "damaged-";
    private static final Pattern STATE_FILE = Pattern.compile("state(?:-([0-9]{1,9}))?[.]mv");
    private static final String IDENTITY_KEY = "identity";
    private static final String HARD_STATE_KEY = "hard";
    private static final String SNAPSHOT_KEY = "snapshot";
    private static final String CHECKSUM_KEY = "sum";
    private static final Entry.Kind[] ENTRY_KINDS = Entry.Kind.values();
    private static final int CACHE_MB = 1;
    private static final long REWRITE_SLACK_BYTES = 16 << 20;
    /** Bytes of log entries per commit while a file is rewritten. */
    private static final int COPY_BATCH_BYTES = 2 << 20;

    /** An open store file. */
    private record StoreFile(MVStore store, MVMap<Long, byte[]> log, MVMap<String, byte[]> meta) {
        void commit() {
            store.commit();
        }

        void sync() {
            store.commit();
            store.sync();
        }

        long length() {
            return store.getFileStore().size();
        }

        /** Closes the file without writing. */
        void close() {
            store.closeImmediately();
        }
    }

    private final StoreDirectory directory;
    private final long rewriteSlackBytes;
    /** The number of the file in use; -1 before the store is initialized. */
    private int fileNumber = -1;

    private StoreFile storeFile;
    /** XOR over the keys and checksums of all records, independent of their order. */
    private int checksum;

    private long liveBytes;
    private long rewriteAboveBytes;

    private CoreStore(StoreDirectory directory, long rewriteSlackBytes) {
        this.directory = directory;
        this.rewriteSlackBytes = rewriteSlackBytes;
    }

    /** Opens the store in a directory of the file system, as {@link #open(StoreDirectory)} does. */
    public static CoreStore open(Path directory) throws IOException, CorruptStoreException {
        return open(new DiskStoreDirectory(directory));
    }

    /**
     * Opens the store in a directory, then verifies and syncs all of it; a store need not exist yet. Contents that
     * cannot be read as a store are a {@link CorruptStoreException}. A disk that cannot be read or synced is an
     * {@link IOException}, which says nothing about the contents.
     */
    public static CoreStore open(StoreDirectory directory) throws IOException, CorruptStoreException {
        return open(directory, REWRITE_SLACK_BYTES);
    }

    /** As above. A file is rewritten once it is longer than twice its live bytes plus {@code rewriteSlackBytes}. */
    static CoreStore open(StoreDirectory directory, long rewriteSlackBytes) throws IOException, CorruptStoreException {
        directory.createDirectories();
        CoreStore opened = new CoreStore(directory, rewriteSlackBytes);
        boolean recovered = false;
        try {
            opened.recover();
            recovered = true;
            return opened;
        } finally {
            if (!recovered) {
                opened.close();
            }
        }
    }

    /**
     * Renames a corrupt store, so that its contents are kept and an empty one can be initialized; returns the new file
     * name. A power loss may drop the renamed file, so a marker file is created and synced first: it keeps the
     * directory from being {@link #isPristine}.
     */
    public static String quarantine(StoreDirectory directory, String date) throws IOException {
        List<String> files = directory.files();
        String name = QUARANTINE_PREFIX + date;
        for (int i = 2; files.contains(name) || files.contains(name + ".mv"); i++) {
            name = QUARANTINE_PREFIX + date + "-" + i;
        }
        String quarantined = name + ".mv";
        directory.createFile(name);
        directory.sync();
        directory.rename(fileName(fileNumbers(files).first()), quarantined);
        directory.sync();
        directory.delete(name);
        return quarantined;
    }

    /** Whether no store has ever been initialized or quarantined in the directory. */
    public boolean isPristine() throws IOException {
        return fileNumber < 0 && directory.files().stream().noneMatch(file -> file.startsWith(QUARANTINE_PREFIX));
    }

    /**
     * Reopens the file, as is required after a failed write; unsynced data may be missing. If the disk fails, the store
     * stays closed and rejects the next write.
     */
    public void reopen() throws CorruptStoreException {
        close();
        try {
            recover();
        } catch (IOException e) {
            close();
        }
    }

    /**
     * Opens the existing file. Of two files the older one is valid, since no write to the newer one is acknowledged
     * before the older one is durably deleted. If there is none, an initialization that was interrupted before its
     * rename is completed.
     */
    private void recover() throws IOException, CorruptStoreException {
        List<String> files = directory.files();
        NavigableSet<Integer> numbers = fileNumbers(files);
        if (numbers.isEmpty() && files.contains(INITIALIZING_FILE) && isIntact(INITIALIZING_FILE)) {
            directory.rename(INITIALIZING_FILE, fileName(0));
            numbers.add(0);
        } else if (files.contains(INITIALIZING_FILE)) {
            directory.delete(INITIALIZING_FILE);
        }
        fileNumber = numbers.isEmpty() ? -1 : numbers.first();
        if (fileNumber >= 0) {
            storeFile = openFile(fileName(fileNumber));
            verify(fileName(fileNumber));
            // A killed process may have left unsynced data, which this process is about to rely on.
            storeFile.store.sync();
        }
        for (int newer : numbers.tailSet(fileNumber, false)) {
            directory.delete(fileName(newer));
        }
        directory.sync();
    }

    private boolean isIntact(String file) throws IOException {
        try {
            storeFile = openFile(file);
            verify(file);
            storeFile.store.sync();
            return true;
        } catch (CorruptStoreException e) {
            return false;
        } finally {
            close();
        }
    }

    private static NavigableSet<Integer> fileNumbers(List<String> files) {
        NavigableSet<Integer> numbers = new TreeSet<>();
        for (String file : files) {
            Matcher matcher = STATE_FILE.matcher(file);
            if (matcher.matches()) {
                numbers.add(matcher.group(1) == null ? 0 : Integer.parseInt(matcher.group(1)));
            }
        }
        return numbers;
    }

    private static String fileName(int number) {
        return number == 0 ? "state.mv" : "state-" + number + ".mv";
    }

    private StoreFile openFile(String file) throws IOException, CorruptStoreException {
        MVStore store = null;
        try {
            // Only explicit commits: MVStore's background thread would sync at arbitrary times.
            store = new MVStore.Builder()
                    .fileName(OrderedFile.path(directory.path(file)))
                    .autoCommitDisabled()
                    .autoCommitBufferSize(0)
                    .cacheSize(CACHE_MB)
                    .open();
            // Nothing in a file is overwritten, so synced data stays intact; the wall clock has no influence.
            store.getFileStore().setReuseSpace(false);
            store.setRetentionTime(-1);
            return new StoreFile(
                    store,
                    store.openMap(
                            "log",
                            new MVMap.Builder<Long, byte[]>()
                                    .keyType(LongDataType.INSTANCE)
                                    .valueType(ByteArrayDataType.INSTANCE)),
                    store.openMap(
                            "meta",
                            new MVMap.Builder<String, byte[]>()
                                    .keyType(StringDataType.INSTANCE)
                                    .valueType(ByteArrayDataType.INSTANCE)));
        } catch (RuntimeException | AssertionError e) {
            if (store != null) {
                store.closeImmediately();
            }
            throw classifyFailure(e);
        }
    }

    /**
     * Distinguishes a disk failure, which is thrown as an {@link IOException}, from a corrupt file, for which the
     * exception is returned. An {@link Error} is neither and is rethrown, except for MVStore's assertion failures.
     */
    private static CorruptStoreException classifyFailure(Throwable e) throws IOException {
        IOException disk = null;
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            if (cause instanceof Error error && !(cause instanceof AssertionError)) {
                throw error;
            }
            if (cause instanceof IOException io && !(cause instanceof EOFException)) {
                disk = io;
            }
            if (cause instanceof MVStoreException locked && locked.getErrorCode() == DataUtils.ERROR_FILE_LOCKED) {
                disk = new IOException("another process has the file open", e);
            }
        }
        if (disk != null) {
            throw new IOException("cannot open the store: " + disk.getMessage(), e);
        }
        return new CorruptStoreException("cannot read the store: " + e.getMessage(), e);
    }

    /** The node's id, stable for the lifetime of its disk; 0 before initialization. */
    public long identity() throws CorruptStoreException {
        byte[] record = fileNumber < 0 ? null : storeFile.meta.get(IDENTITY_KEY);
        return record == null ? 0 : contentsOf(record, IDENTITY_KEY).getLong();
    }

    /** Initializes an empty store with the node's id and first state; the store is durable when this returns. */
    public void initialize(long id, HardState hardState, Snapshot snapshot) {
        try {
            if (directory.files().contains(INITIALIZING_FILE)) {
                directory.delete(INITIALIZING_FILE);
            }
            storeFile = openFile(INITIALIZING_FILE);
            checksum = 0;
            liveBytes = 0;
            putMeta(IDENTITY_KEY, withChecksum(allocateRecord(Long.BYTES).putLong(id)));
            writeHardState(hardState);
            writeSnapshot(snapshot);
            sync();
            directory.sync();
            directory.rename(INITIALIZING_FILE, fileName(0));
            directory.sync();
            fileNumber = 0;
            rewriteAboveBytes = 2 * liveBytes + rewriteSlackBytes;
        } catch (IOException | CorruptStoreException e) {
            throw new IllegalStateException("cannot initialize the store: " + e.getMessage(), e);
        } catch (MVStoreException e) {
            throw rethrowError(e);
        }
    }

    /** Reads the synced state. */
    public PersistentState load() throws CorruptStoreException {
        if (fileNumber < 0) {
            return PersistentState.EMPTY;
        }
        try {
            HardState hardState = readHardState();
            Snapshot snapshot = readSnapshot();
            List<Entry> entries = new ArrayList<>();
            for (Cursor<Long, byte[]> cursor = storeFile.log.cursor(null); cursor.hasNext(); ) {
                long index = cursor.next();
                if (index > snapshot.index()) {
                    entries.add(decodeEntry(index, cursor.getValue()));
                }
            }
            verifyContiguous(snapshot, entries);
            return new PersistentState(hardState, snapshot, entries);
        } catch (RuntimeException | AssertionError e) {
            throw asCorrupt(e);
        }
    }

    private static CorruptStoreException asCorrupt(Throwable e) {
        try {
            return classifyFailure(e);
        } catch (IOException io) {
            return new CorruptStoreException(io.getMessage(), io);
        }
    }

    /** Reads every record, and compares their total checksum with the one written by the last commit. */
    private void verify(String file) throws IOException, CorruptStoreException {
        try {
            checksum = 0;
            liveBytes = 0;
            for (Cursor<Long, byte[]> cursor = storeFile.log.cursor(null); cursor.hasNext(); ) {
                long index = cursor.next();
                contentsOf(cursor.getValue(), "entry " + index);
                updateTotals(Long.toString(index), null, cursor.getValue());
            }
            for (Cursor<String, byte[]> cursor = storeFile.meta.cursor(null); cursor.hasNext(); ) {
                String name = cursor.next();
                contentsOf(cursor.getValue(), name);
                if (!name.equals(CHECKSUM_KEY)) {
                    updateTotals(name, null, cursor.getValue());
                }
            }
            byte[] record = storeFile.meta.get(CHECKSUM_KEY);
            if (record == null) {
                throw new CorruptStoreException("the checksum over all records is missing", null);
            }
            if (contentsOf(record, CHECKSUM_KEY).getInt() != checksum) {
                throw new CorruptStoreException("the records do not match the checksum over all records", null);
            }
            if (OrderedFile.newestVersion(directory.path(file)) != storeFile.store.getCurrentVersion()) {
                throw new CorruptStoreException("the newest committed version cannot be read", null);
            }
            if (identity() == 0) {
                throw new CorruptStoreException("the node's identity is missing", null);
            }
            rewriteAboveBytes = 2 * liveBytes + rewriteSlackBytes;
        } catch (RuntimeException | AssertionError e) {
            throw classifyFailure(e);
        }
    }

    private static void verifyContiguous(Snapshot snapshot, List<Entry> entries) throws CorruptStoreException {
        long expected = snapshot.index() + 1;
        for (Entry entry : entries) {
            if (entry.index() != expected++) {
                throw new CorruptStoreException(
                        "the log has entry " + entry.index() + " where " + (expected - 1) + " was expected", null);
            }
        }
    }

    /**
     * Writes the state changes of a Raft {@link Output} and syncs them (fsync) before it returns. A disk failure is an
     * {@link IllegalStateException} or {@link MVStoreException}, after which the store must be reopened; an
     * {@link Error} is thrown unwrapped.
     */
    public void write(Output output) {
        if (fileNumber < 0 || storeFile.store.isClosed()) {
            throw new IllegalStateException("the store is not open");
        }
        try {
            if (output.hardState() != null) {
                writeHardState(output.hardState());
            }
            if (output.snapshot() != null) {
                writeSnapshot(output.snapshot());
            }
            if (output.truncateFrom() > 0) {
                for (Long last = storeFile.log.lastKey();
                        last != null && last >= output.truncateFrom();
                        last = storeFile.log.lastKey()) {
                    removeEntry(last);
                }
                for (Entry entry : output.entries()) {
                    putEntry(
                            entry.index(),
                            withChecksum(allocateRecord(Long.BYTES + 1 + entry.body().length)
                                    .putLong(entry.term())
                                    .put((byte) entry.kind().ordinal())
                                    .put(entry.body())));
                }
            }
            sync();
        } catch (MVStoreException e) {
            throw rethrowError(e);
        }
        if (storeFile.length() > rewriteAboveBytes) {
            rewrite();
        }
    }

    /** Rethrows an {@link Error} that MVStore has wrapped in an exception of its own; else returns the exception. */
    private static MVStoreException rethrowError(MVStoreException e) {
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            if (cause instanceof Error error) {
                throw error;
            }
        }
        return e;
    }

    /** Compacts the file: copies the live records to a new one and deletes the old one, which is valid until then. */
    private void rewrite() {
        StoreFile copy;
        try {
            copy = copyTo(fileName(fileNumber + 1));
        } catch (MVStoreException | IOException | CorruptStoreException e) {
            if (e instanceof MVStoreException failed) {
                rethrowError(failed);
            }
            // For example, the disk is full. The old file still holds everything.
            rewriteAboveBytes = storeFile.length() + rewriteSlackBytes / 2;
            return;
        }
        storeFile.close();
        storeFile = copy;
        try {
            directory.delete(fileName(fileNumber));
            directory.sync();
            fileNumber++;
            rewriteAboveBytes = 2 * liveBytes + rewriteSlackBytes;
        } catch (IOException e) {
            storeFile.close();
            throw new IllegalStateException("cannot delete the old store file: " + e.getMessage(), e);
        }
    }

    private StoreFile copyTo(String file) throws IOException, CorruptStoreException {
        if (directory.files().contains(file)) {
            directory.delete(file);
        }
        StoreFile copy = openFile(file);
        boolean done = false;
        try {
            long uncommittedBytes = 0;
            for (Cursor<Long, byte[]> cursor = storeFile.log.cursor(null); cursor.hasNext(); ) {
                copy.log.put(cursor.next(), cursor.getValue());
                uncommittedBytes += cursor.getValue().length;
                if (uncommittedBytes > COPY_BATCH_BYTES) {
                    copy.commit();
                    uncommittedBytes = 0;
                }
            }
            copy.commit();
            for (Cursor<String, byte[]> cursor = storeFile.meta.cursor(null); cursor.hasNext(); ) {
                copy.meta.put(cursor.next(), cursor.getValue());
            }
            copy.sync();
            directory.sync();
            done = true;
            return copy;
        } finally {
            if (!done) {
                copy.close();
            }
        }
    }

    private void writeHardState(HardState hardState) {
        putMeta(
                HARD_STATE_KEY,
                withChecksum(allocateRecord(3 * Long.BYTES)
                        .putLong(hardState.term())
                        .putLong(hardState.votedFor())
                        .putLong(hardState.lastLeader())));
    }

    private void writeSnapshot(Snapshot snapshot) {
        byte[] members = MemberListCodec.encode(snapshot.members());
        putMeta(
                SNAPSHOT_KEY,
                withChecksum(allocateRecord(2 * Long.BYTES + Integer.BYTES + members.length + snapshot.state().length)
                        .putLong(snapshot.index())
                        .putLong(snapshot.term())
                        .putInt(members.length)
                        .put(members)
                        .put(snapshot.state())));
        for (Long first = storeFile.log.firstKey();
                first != null && first <= snapshot.index();
                first = storeFile.log.firstKey()) {
            removeEntry(first);
        }
    }

    private void putMeta(String name, byte[] record) {
        updateTotals(name, storeFile.meta.put(name, record), record);
    }

    private void putEntry(long index, byte[] record) {
        updateTotals(Long.toString(index), storeFile.log.put(index, record), record);
    }

    private void removeEntry(long index) {
        updateTotals(Long.toString(index), storeFile.log.remove(index), null);
    }

    /** Updates the checksum over all records and the live bytes for a record that is replaced, added or removed. */
    private void updateTotals(String key, byte[] previous, byte[] record) {
        for (byte[] each : new byte[][] {previous, record}) {
            if (each != null) {
                byte[] name = key.getBytes(StandardCharsets.UTF_8);
                CRC32C crc = new CRC32C();
                crc.update(name);
                crc.update(each, 0, Integer.BYTES);
                checksum ^= (int) crc.getValue();
                liveBytes += each == record ? each.length : -each.length;
            }
        }
    }

    private void sync() {
        storeFile.meta.put(
                CHECKSUM_KEY, withChecksum(allocateRecord(Integer.BYTES).putInt(checksum)));
        storeFile.sync();
    }

    /** Closes the file. Nothing is left to write: every acknowledged write is already synced. */
    @Override
    public void close() {
        if (storeFile != null) {
            storeFile.close();
        }
    }

    private HardState readHardState() throws CorruptStoreException {
        byte[] record = storeFile.meta.get(HARD_STATE_KEY);
        if (record == null) {
            return HardState.NONE;
        }
        ByteBuffer in = contentsOf(record, HARD_STATE_KEY);
        long term = in.getLong();
        long votedFor = in.getLong();
        return new HardState(term, votedFor, in.hasRemaining() ? in.getLong() : 0);
    }

    private Snapshot readSnapshot() throws CorruptStoreException {
        byte[] record = storeFile.meta.get(SNAPSHOT_KEY);
        if (record == null) {
            return Snapshot.NONE;
        }
        ByteBuffer in = contentsOf(record, SNAPSHOT_KEY);
        long index = in.getLong();
        long term = in.getLong();
        byte[] members = new byte[in.getInt()];
        in.get(members);
        byte[] state = new byte[in.remaining()];
        in.get(state);
        return new Snapshot(index, term, MemberListCodec.decode(members), state);
    }

    private static Entry decodeEntry(long index, byte[] record) throws CorruptStoreException {
        ByteBuffer in = contentsOf(record, "entry " + index);
        long term = in.getLong();
        int kind = in.get();
        if (kind < 0 || kind >= ENTRY_KINDS.length) {
            throw new CorruptStoreException("entry " + index + " is of an unknown kind", null);
        }
        byte[] body = new byte[in.remaining()];
        in.get(body);
        return new Entry(index, term, ENTRY_KINDS[kind], body);
    }

    /** Allocates a record for contents of this length, positioned after the checksum. */
    private static ByteBuffer allocateRecord(int length) {
        return ByteBuffer.allocate(Integer.BYTES + length).position(Integer.BYTES);
    }

    /** Writes the checksum of a completely filled record into it. */
    @SuppressWarnings("ByteBufferBackingArray") // allocateRecord() allocates each of them without an offset.
    private static byte[] withChecksum(ByteBuffer record) {
        CRC32C crc = new CRC32C();
        crc.update(record.array(), Integer.BYTES, record.capacity() - Integer.BYTES);
        return record.putInt(0, (int) crc.getValue()).array();
    }

    /** Verifies the checksum of a record and returns its contents. */
    private static ByteBuffer contentsOf(byte[] record, String name) throws CorruptStoreException {
        if (record.length < Integer.BYTES) {
            throw new CorruptStoreException(name + " is truncated", null);
        }
        ByteBuffer in = ByteBuffer.wrap(record);
        int written = in.getInt();
        CRC32C crc = new CRC32C();
        crc.update(record, Integer.BYTES, record.length - Integer.BYTES);
        if ((int) crc.getValue() != written) {
            throw new CorruptStoreException(name + " does not match its checksum", null);
        }
        return in;
    }
}
