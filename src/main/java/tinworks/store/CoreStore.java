package tinworks.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.LongDataType;
import org.h2.mvstore.type.StringDataType;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Members;
import tinworks.raft.Output;
import tinworks.raft.Snapshot;
import tinworks.raft.Stored;

/**
 * A core machine's part of the agreed log, and who the machine is. Each record carries a checksum of its own beside
 * MVStore's. All methods block on the disk and belong to one thread.
 *
 * <p>Records, all big-endian behind a CRC-32C of the rest (4 bytes). {@code meta/identity}: id (8). {@code meta/hard}:
 * term (8), vote (8). {@code meta/snapshot}: index (8), term (8), length (4) and bytes of the voters, the state.
 * {@code log}, by index: term (8), kind (1), body.
 */
public final class CoreStore implements AutoCloseable {
    /** A store whose contents can't be trusted. */
    public static final class Damaged extends Exception {
        private static final long serialVersionUID = 1L;

        Damaged(String what, Throwable cause) {
            super(what, cause);
        }
    }

    private static final String FILE = "state.mv", IDENTITY = "identity", HARD = "hard", SNAPSHOT = "snapshot";
    private static final Entry.Kind[] KINDS = Entry.Kind.values();
    private static final int CACHE_MB = 1, COMPACT_FILL_PERCENT = 50, COMPACT_BYTES = 1 << 20;

    private final Folder folder;
    private MVStore store;
    private MVMap<Long, byte[]> log;
    private MVMap<String, byte[]> meta;

    private CoreStore(Folder folder) {
        this.folder = folder;
    }

    /** Opens the store in a folder, or makes one; a file that can't be read as a store is {@link Damaged}. */
    public static CoreStore open(Path folder) throws IOException, Damaged {
        return open(new DiskFolder(folder));
    }

    /** Opens the store in a folder, or makes one; a file that can't be read as a store is {@link Damaged}. */
    public static CoreStore open(Folder folder) throws IOException, Damaged {
        folder.make();
        CoreStore opened = new CoreStore(folder);
        opened.reopen();
        // What a killed process left may not be synced yet, and this one acts on it.
        opened.sync();
        folder.sync();
        return opened;
    }

    /** Renames a damaged store, so that nothing is lost and an empty one can be made; returns the file's new name. */
    public static String setAside(Folder folder, String date) throws IOException {
        String aside = "damaged-" + date + ".mv";
        for (int i = 2; folder.exists(aside); i++) {
            aside = "damaged-" + date + "-" + i + ".mv";
        }
        folder.move(FILE, aside);
        folder.sync();
        return aside;
    }

    /** Opens the file again, as it must be after a write that failed; what was not synced may be missing. */
    public void reopen() throws Damaged {
        if (store != null) {
            store.closeImmediately();
        }
        try {
            // Commits happen where they are asked for alone: a thread of the library's would sync at times of its own.
            store = new MVStore.Builder().fileName(folder.path(FILE)).autoCommitDisabled()
                    .cacheSize(CACHE_MB).open();
            log = store.openMap("log", new MVMap.Builder<Long, byte[]>().keyType(LongDataType.INSTANCE)
                    .valueType(ByteArrayDataType.INSTANCE));
            meta = store.openMap("meta", new MVMap.Builder<String, byte[]>().keyType(StringDataType.INSTANCE)
                    .valueType(ByteArrayDataType.INSTANCE));
        } catch (MVStoreException e) {
            throw new Damaged("the store can't be opened: " + e.getMessage(), e);
        }
    }

    /** Who this machine is for as long as its disk lives, 0 where the disk is new. */
    public long identity() throws Damaged {
        byte[] record = meta.get(IDENTITY);
        return record == null ? 0 : unsealed(record, IDENTITY).getLong();
    }

    /** Makes an empty store this machine's. */
    public void found(long id, HardState hard, Snapshot first) {
        meta.put(IDENTITY, sealed(ByteBuffer.allocate(Long.BYTES).putLong(id)));
        writeHard(hard);
        writeSnapshot(first);
        sync();
    }

    /** All that has been synced. */
    public Stored load() throws Damaged {
        try {
            HardState hard = hard();
            Snapshot snapshot = snapshot();
            List<Entry> entries = new ArrayList<>();
            for (Long index : log.keyList()) {
                if (index > snapshot.index()) {
                    entries.add(entry(index, log.get(index)));
                }
            }
            checkOrder(snapshot, entries);
            return new Stored(hard, snapshot, entries);
        } catch (MVStoreException | IllegalArgumentException | java.nio.BufferUnderflowException e) {
            throw new Damaged("the store can't be read: " + e.getMessage(), e);
        }
    }

    private static void checkOrder(Snapshot snapshot, List<Entry> entries) throws Damaged {
        long due = snapshot.index() + 1;
        for (Entry entry : entries) {
            if (entry.index() != due++) {
                throw new Damaged("the log has entry " + entry.index() + " where " + (due - 1) + " was due", null);
            }
        }
    }

    /** Writes what an output asks for and returns when it is on the disk. */
    public void write(Output output) {
        if (output.hard() != null) {
            writeHard(output.hard());
        }
        if (output.snapshot() != null) {
            writeSnapshot(output.snapshot());
        }
        if (output.cutFrom() > 0) {
            for (Long last = log.lastKey(); last != null && last >= output.cutFrom(); last = log.lastKey()) {
                log.remove(last);
            }
            for (Entry entry : output.entries()) {
                log.put(entry.index(), sealed(ByteBuffer.allocate(Long.BYTES + 1 + entry.body().length)
                        .putLong(entry.term()).put((byte) entry.kind().ordinal()).put(entry.body())));
            }
        }
        sync();
        if (output.snapshot() != null) {
            store.compact(COMPACT_FILL_PERCENT, COMPACT_BYTES);
        }
    }

    private void writeHard(HardState hard) {
        meta.put(HARD, sealed(ByteBuffer.allocate(2 * Long.BYTES).putLong(hard.term()).putLong(hard.votedFor())));
    }

    private void writeSnapshot(Snapshot snapshot) {
        byte[] members = Members.write(snapshot.members());
        meta.put(SNAPSHOT, sealed(ByteBuffer.allocate(2 * Long.BYTES + Integer.BYTES + members.length + snapshot.state().length)
                .putLong(snapshot.index()).putLong(snapshot.term()).putInt(members.length).put(members)
                .put(snapshot.state())));
        for (Long first = log.firstKey(); first != null && first <= snapshot.index(); first = log.firstKey()) {
            log.remove(first);
        }
    }

    private void sync() {
        store.commit();
        store.sync();
    }

    @Override
    public void close() {
        store.close();
    }

    private HardState hard() throws Damaged {
        byte[] record = meta.get(HARD);
        if (record == null) {
            return HardState.NONE;
        }
        ByteBuffer in = unsealed(record, HARD);
        return new HardState(in.getLong(), in.getLong());
    }

    private Snapshot snapshot() throws Damaged {
        byte[] record = meta.get(SNAPSHOT);
        if (record == null) {
            return Snapshot.NONE;
        }
        ByteBuffer in = unsealed(record, SNAPSHOT);
        long index = in.getLong();
        long term = in.getLong();
        byte[] members = new byte[in.getInt()];
        in.get(members);
        byte[] state = new byte[in.remaining()];
        in.get(state);
        return new Snapshot(index, term, Members.read(members), state);
    }

    private static Entry entry(long index, byte[] record) throws Damaged {
        ByteBuffer in = unsealed(record, "entry " + index);
        long term = in.getLong();
        int kind = in.get();
        if (kind < 0 || kind >= KINDS.length) {
            throw new Damaged("entry " + index + " is of no known kind", null);
        }
        byte[] body = new byte[in.remaining()];
        in.get(body);
        return new Entry(index, term, KINDS[kind], body);
    }

    private static byte[] sealed(ByteBuffer contents) {
        CRC32C sum = new CRC32C();
        sum.update(contents.array());
        return ByteBuffer.allocate(Integer.BYTES + contents.capacity()).putInt((int) sum.getValue())
                .put(contents.array()).array();
    }

    private static ByteBuffer unsealed(byte[] record, String what) throws Damaged {
        if (record.length < Integer.BYTES) {
            throw new Damaged(what + " is cut short", null);
        }
        ByteBuffer in = ByteBuffer.wrap(record);
        int written = in.getInt();
        CRC32C sum = new CRC32C();
        sum.update(record, Integer.BYTES, record.length - Integer.BYTES);
        if ((int) sum.getValue() != written) {
            throw new Damaged(what + " doesn't match its checksum", null);
        }
        return in;
    }
}
