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
 * A core machine's part of the agreed log, and who the machine is. Each record carries a checksum of its own beside
 * MVStore's. All methods block on the disk and belong to one thread.
 *
 * <p>Records, all big-endian behind a CRC-32C of the rest (4 bytes). {@code meta/identity}: id (8). {@code meta/hard}:
 * term (8), vote (8), the leader followed last (8, missing in older stores). {@code meta/snapshot}: index (8), term
 * (8), length (4) and bytes of the voters, the state. {@code log}, by index: term (8), kind (1), body.
 * {@code meta/sum}: a sum over the keys and checksums of all others (4).
 *
 * <p>Files: {@code state.mv}, or with a number, {@code state-3.mv}, once it was written anew as it had grown: a file is
 * only ever added to. {@code founding.mv} is a store whose making was cut short, {@code damaged-...mv} one that was set
 * aside.
 */
public final class CoreStore implements AutoCloseable {
    /** A store whose contents can't be trusted. */
    public static final class CorruptStoreException extends Exception {
        private static final long serialVersionUID = 1L;

        CorruptStoreException(String what, Throwable cause) {
            super(what, cause);
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
    /** How much of a new file is written at a time. */
    private static final int COPY_BATCH_BYTES = 2 << 20;

    /** An open file. */
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

        /** Lets go of the file and writes nothing. */
        void close() {
            store.closeImmediately();
        }
    }

    private final StoreDirectory directory;
    private final long rewriteSlackBytes;
    /** The number of the file that is in use; -1 before the store is founded. */
    private int fileNumber = -1;

    private StoreFile storeFile;
    /** Over the keys and checksums of all records, in any order. */
    private int checksum;

    private long liveBytes;
    private long rewriteAboveBytes;

    private CoreStore(StoreDirectory folder, long spareBytes) {
        this.directory = folder;
        this.rewriteSlackBytes = spareBytes;
    }

    /**
     * Opens the store in a folder, or makes one; a file that can't be read as a store is {@link CorruptStoreException}.
     */
    public static CoreStore open(Path folder) throws IOException, CorruptStoreException {
        return open(new DiskStoreDirectory(folder));
    }

    /**
     * Opens the store in a folder, and reads and syncs all of it; there may be none yet. A file that can't be read as a
     * store is {@link CorruptStoreException}; a disk that can't be read or synced is an {@link IOException}, and
     * nothing is said of the store.
     */
    public static CoreStore open(StoreDirectory folder) throws IOException, CorruptStoreException {
        return open(folder, REWRITE_SLACK_BYTES);
    }

    /** The same; a file is written anew once it is longer than twice what is live in it and this many bytes. */
    static CoreStore open(StoreDirectory folder, long spareBytes) throws IOException, CorruptStoreException {
        folder.createDirectories();
        CoreStore opened = new CoreStore(folder, spareBytes);
        boolean found = false;
        try {
            opened.recover();
            found = true;
            return opened;
        } finally {
            if (!found) {
                opened.close();
            }
        }
    }

    /**
     * Renames a damaged store, so that nothing is lost and an empty one can be made; returns the file's new name. A
     * file that is renamed may be lost by itself with the power, so a mark is made and synced first: it keeps the
     * folder from looking {@link #isPristine}.
     */
    public static String quarantine(StoreDirectory folder, String date) throws IOException {
        List<String> files = folder.files();
        String name = QUARANTINE_PREFIX + date;
        for (int i = 2; files.contains(name) || files.contains(name + ".mv"); i++) {
            name = QUARANTINE_PREFIX + date + "-" + i;
        }
        String aside = name + ".mv";
        folder.createFile(name);
        folder.sync();
        folder.rename(fileName(fileNumbers(files).first()), aside);
        folder.sync();
        folder.delete(name);
        return aside;
    }

    /** Whether nothing has ever been founded in the folder, nor set aside in it. */
    public boolean isPristine() throws IOException {
        return fileNumber < 0 && directory.files().stream().noneMatch(file -> file.startsWith(QUARANTINE_PREFIX));
    }

    /**
     * Opens the file again, as it must be after a write that failed; what was not synced may be missing. Where the disk
     * doesn't let it, the store stays shut and refuses the next write.
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
     * Opens what is there. Of two files the older one counts, as nothing is acknowledged in a newer one before the
     * older is gone for good; without any, a founding that was cut short before its name was sure is finished.
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
            // What a killed process left may not be synced yet, and this one acts on it.
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
            // Commits happen where they are asked for alone: a thread of the library's would sync at times of its own.
            store = new MVStore.Builder()
                    .fileName(OrderedFile.path(directory.path(file)))
                    .autoCommitDisabled()
                    .autoCommitBufferSize(0)
                    .cacheSize(CACHE_MB)
                    .open();
            // Nothing in a file is ever overwritten, so that what was synced stays; the time of day decides nothing.
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
     * What became of reading a file: the disk's fault, or the file's. An {@link Error} is neither, but for MVStore's
     * asserts.
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
                disk = new IOException("another process has it open", e);
            }
        }
        if (disk != null) {
            throw new IOException("the store can't be opened: " + disk.getMessage(), e);
        }
        return new CorruptStoreException("the store can't be read: " + e.getMessage(), e);
    }

    /** Who this machine is for as long as its disk lives, 0 where the disk is new. */
    public long identity() throws CorruptStoreException {
        byte[] record = fileNumber < 0 ? null : storeFile.meta.get(IDENTITY_KEY);
        return record == null ? 0 : contentsOf(record, IDENTITY_KEY).getLong();
    }

    /** Makes an empty store this machine's; returns once it outlasts a loss of power. */
    public void initialize(long id, HardState hard, Snapshot first) {
        try {
            if (directory.files().contains(INITIALIZING_FILE)) {
                directory.delete(INITIALIZING_FILE);
            }
            storeFile = openFile(INITIALIZING_FILE);
            checksum = 0;
            liveBytes = 0;
            putMeta(IDENTITY_KEY, withChecksum(allocateRecord(Long.BYTES).putLong(id)));
            writeHardState(hard);
            writeSnapshot(first);
            sync();
            directory.sync();
            directory.rename(INITIALIZING_FILE, fileName(0));
            directory.sync();
            fileNumber = 0;
            rewriteAboveBytes = 2 * liveBytes + rewriteSlackBytes;
        } catch (IOException | CorruptStoreException e) {
            throw new IllegalStateException("the disk refuses a new store: " + e.getMessage(), e);
        } catch (MVStoreException e) {
            throw rethrowError(e);
        }
    }

    /** All that has been synced. */
    public PersistentState load() throws CorruptStoreException {
        if (fileNumber < 0) {
            return PersistentState.EMPTY;
        }
        try {
            HardState hard = readHardState();
            Snapshot snapshot = readSnapshot();
            List<Entry> entries = new ArrayList<>();
            for (Cursor<Long, byte[]> each = storeFile.log.cursor(null); each.hasNext(); ) {
                long index = each.next();
                if (index > snapshot.index()) {
                    entries.add(decodeEntry(index, each.getValue()));
                }
            }
            verifyContiguous(snapshot, entries);
            return new PersistentState(hard, snapshot, entries);
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

    /** Reads every record, and holds their sum against the one that was written with the last of them. */
    private void verify(String file) throws IOException, CorruptStoreException {
        try {
            checksum = 0;
            liveBytes = 0;
            for (Cursor<Long, byte[]> each = storeFile.log.cursor(null); each.hasNext(); ) {
                long index = each.next();
                contentsOf(each.getValue(), "entry " + index);
                updateTotals(Long.toString(index), null, each.getValue());
            }
            for (Cursor<String, byte[]> each = storeFile.meta.cursor(null); each.hasNext(); ) {
                String name = each.next();
                contentsOf(each.getValue(), name);
                if (!name.equals(CHECKSUM_KEY)) {
                    updateTotals(name, null, each.getValue());
                }
            }
            byte[] record = storeFile.meta.get(CHECKSUM_KEY);
            if (record == null) {
                throw new CorruptStoreException("there is no sum of the records", null);
            }
            if (contentsOf(record, CHECKSUM_KEY).getInt() != checksum) {
                throw new CorruptStoreException("the records don't match their sum", null);
            }
            if (OrderedFile.newestVersion(directory.path(file)) != storeFile.store.getCurrentVersion()) {
                throw new CorruptStoreException("what was written last can't be read", null);
            }
            if (identity() == 0) {
                throw new CorruptStoreException("there is no identity in it", null);
            }
            rewriteAboveBytes = 2 * liveBytes + rewriteSlackBytes;
        } catch (RuntimeException | AssertionError e) {
            throw classifyFailure(e);
        }
    }

    private static void verifyContiguous(Snapshot snapshot, List<Entry> entries) throws CorruptStoreException {
        long due = snapshot.index() + 1;
        for (Entry entry : entries) {
            if (entry.index() != due++) {
                throw new CorruptStoreException(
                        "the log has entry " + entry.index() + " where " + (due - 1) + " was due", null);
            }
        }
    }

    /**
     * Writes what an output asks for and returns when it is on the disk. A disk that refuses it ends as an
     * {@link IllegalStateException} or {@link MVStoreException}, and the store must be opened again; an {@link Error}
     * stays one.
     */
    public void write(Output output) {
        if (fileNumber < 0 || storeFile.store.isClosed()) {
            throw new IllegalStateException("the store isn't open");
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

    /** MVStore passes an {@link Error} on as one of its own exceptions. */
    private static MVStoreException rethrowError(MVStoreException e) {
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            if (cause instanceof Error error) {
                throw error;
            }
        }
        return e;
    }

    /** Writes what is live to a new file and removes the old one, which counts for as long as it is there. */
    private void rewrite() {
        StoreFile made;
        try {
            made = copyTo(fileName(fileNumber + 1));
        } catch (MVStoreException | IOException | CorruptStoreException e) {
            if (e instanceof MVStoreException failed) {
                rethrowError(failed);
            }
            // There is no room for it, say. The old file still holds all.
            rewriteAboveBytes = storeFile.length() + rewriteSlackBytes / 2;
            return;
        }
        storeFile.close();
        storeFile = made;
        try {
            directory.delete(fileName(fileNumber));
            directory.sync();
            fileNumber++;
            rewriteAboveBytes = 2 * liveBytes + rewriteSlackBytes;
        } catch (IOException e) {
            storeFile.close();
            throw new IllegalStateException("the old file can't be removed: " + e.getMessage(), e);
        }
    }

    private StoreFile copyTo(String file) throws IOException, CorruptStoreException {
        if (directory.files().contains(file)) {
            directory.delete(file);
        }
        StoreFile made = openFile(file);
        boolean done = false;
        try {
            long waiting = 0;
            for (Cursor<Long, byte[]> each = storeFile.log.cursor(null); each.hasNext(); ) {
                made.log.put(each.next(), each.getValue());
                waiting += each.getValue().length;
                if (waiting > COPY_BATCH_BYTES) {
                    made.commit();
                    waiting = 0;
                }
            }
            made.commit();
            for (Cursor<String, byte[]> each = storeFile.meta.cursor(null); each.hasNext(); ) {
                made.meta.put(each.next(), each.getValue());
            }
            made.sync();
            directory.sync();
            done = true;
            return made;
        } finally {
            if (!done) {
                made.close();
            }
        }
    }

    private void writeHardState(HardState hard) {
        putMeta(
                HARD_STATE_KEY,
                withChecksum(allocateRecord(3 * Long.BYTES)
                        .putLong(hard.term())
                        .putLong(hard.votedFor())
                        .putLong(hard.lastLeader())));
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

    private void updateTotals(String key, byte[] before, byte[] record) {
        for (byte[] each : new byte[][] {before, record}) {
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

    /** Lets go of the file. There is nothing to write: all that counts is synced. */
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
            throw new CorruptStoreException("entry " + index + " is of no known kind", null);
        }
        byte[] body = new byte[in.remaining()];
        in.get(body);
        return new Entry(index, term, ENTRY_KINDS[kind], body);
    }

    /** Room for contents of this length behind their checksum. */
    private static ByteBuffer allocateRecord(int length) {
        return ByteBuffer.allocate(Integer.BYTES + length).position(Integer.BYTES);
    }

    /** The record, full to its end, with its checksum. */
    @SuppressWarnings("ByteBufferBackingArray") // record() allocates each of them, whole and without an offset.
    private static byte[] withChecksum(ByteBuffer record) {
        CRC32C sum = new CRC32C();
        sum.update(record.array(), Integer.BYTES, record.capacity() - Integer.BYTES);
        return record.putInt(0, (int) sum.getValue()).array();
    }

    private static ByteBuffer contentsOf(byte[] record, String what) throws CorruptStoreException {
        if (record.length < Integer.BYTES) {
            throw new CorruptStoreException(what + " is cut short", null);
        }
        ByteBuffer in = ByteBuffer.wrap(record);
        int written = in.getInt();
        CRC32C sum = new CRC32C();
        sum.update(record, Integer.BYTES, record.length - Integer.BYTES);
        if ((int) sum.getValue() != written) {
            throw new CorruptStoreException(what + " doesn't match its checksum", null);
        }
        return in;
    }
}
