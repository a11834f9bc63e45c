package tinworks.store;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.h2.store.fs.FileBaseDefault;
import org.h2.store.fs.FilePath;

/**
 * A seeded in-memory disk of one machine, on which {@link CoreStore} runs through MVStore. After a power loss a file
 * holds everything up to its last sync; each later write is kept, lost or torn independently, and at some power losses
 * all are lost. Files created, renamed or deleted since the directory's last sync are kept or lost independently.
 *
 * <p>Handles opened before a {@link #crash}, {@link #powerLoss} or {@link #wipe} belong to a terminated process: their
 * operations fail and change nothing.
 */
public final class SimulatedDisk {
    /** The scheme under which the simulated file system is registered with MVStore. */
    private static final String SCHEME = "simdisk";

    private static final int SECTOR_BYTES = 512;
    private static final Map<Long, WeakReference<SimulatedDisk>> DISKS = new ConcurrentHashMap<>();
    private static final AtomicLong NEXT_ID = new AtomicLong();

    static {
        FilePath.register(new SimulatedPath());
    }

    /** The kinds of sync that a store performs. */
    public enum SyncKind {
        /** Sync of the directory. */
        DIRECTORY,
        /** Sync of a file's contents, before the footer is written that marks them as complete. */
        CONTENTS,
        /** Sync of a file and its length, at the end of a write. */
        FILE
    }

    private final long id = NEXT_ID.incrementAndGet();
    private final SplittableRandom random;
    private final Map<String, FileContents> entries = new TreeMap<>();
    private final Map<String, FileContents> syncedEntries = new TreeMap<>();
    private Runnable onSync = () -> {};
    private Set<SyncKind> skippedSyncs = EnumSet.noneOf(SyncKind.class);
    private int generation;
    private long operations;
    private long syncs;
    private long operationsLeft = Long.MAX_VALUE;
    private boolean failed;
    private long writesLeft = Long.MAX_VALUE;
    private boolean partialWrite;

    /** An empty disk; the seed determines what survives each power loss. */
    public SimulatedDisk(long seed) {
        random = new SplittableRandom(seed);
        DISKS.values().removeIf(disk -> disk.get() == null);
        DISKS.put(id, new WeakReference<>(this));
    }

    /** The directory to open a store in; it keeps a reference to this disk. */
    public StoreDirectory directory() {
        return new SimulatedDirectory();
    }

    /** Simulates a power loss, which also terminates the process. */
    public synchronized void powerLoss() {
        crash();
        Map<String, FileContents> kept = entriesAfterPowerLoss();
        entries.clear();
        entries.putAll(kept);
        syncedEntries.clear();
        syncedEntries.putAll(kept);
        entries.values().forEach(file -> file.loseWrites(random));
    }

    private Map<String, FileContents> entriesAfterPowerLoss() {
        Map<String, FileContents> kept = new TreeMap<>();
        boolean allLost = random.nextInt(4) == 0;
        Map<String, FileContents> all = new TreeMap<>(syncedEntries);
        all.putAll(entries);
        for (String name : all.keySet()) {
            FileContents was = syncedEntries.get(name);
            FileContents is = entries.get(name);
            FileContents chosen = was == is || (!allLost && random.nextBoolean()) ? is : was;
            if (chosen != null) {
                kept.put(name, chosen);
            }
        }
        // A renamed file keeps its old name or its new one or is lost; it never has both.
        kept.entrySet()
                .removeIf(old -> entries.get(old.getKey()) != old.getValue()
                        && kept.entrySet().stream()
                                .anyMatch(other -> other != old && other.getValue() == old.getValue()));
        return kept;
    }

    /** Terminates the process; the files stay unchanged. */
    public synchronized void crash() {
        generation++;
        operationsLeft = Long.MAX_VALUE;
    }

    /** Terminates the process and replaces the disk by an empty one. */
    public synchronized void wipe() {
        crash();
        entries.clear();
        syncedEntries.clear();
    }

    /** Makes the disk full, so that it rejects every write, or frees it again. */
    public synchronized void setFull(boolean full) {
        writesLeft = full ? 0 : Long.MAX_VALUE;
        partialWrite = false;
    }

    /** Accepts this many more writes and is full afterwards; the first rejected write may be written in part. */
    public synchronized void becomeFullAfter(long writes) {
        writesLeft = writes;
        partialWrite = true;
    }

    /**
     * Lets this many more operations (writes, truncations, syncs, creations, renames and deletions) succeed. All later
     * ones fail, as if they came after the {@link #powerLoss} that the caller then simulates.
     */
    public synchronized void failAfter(long more) {
        operationsLeft = more;
        failed = false;
    }

    /** Whether an operation has failed because of {@link #failAfter}. */
    public synchronized boolean hasFailed() {
        return failed;
    }

    /** Sets a hook that is called at each sync of a file or of the directory before it takes effect, on its thread. */
    public synchronized void onSync(Runnable hook) {
        onSync = hook;
    }

    /** Makes syncs of these kinds have no effect from now on, as if the store had left them out. */
    public synchronized void skipSyncs(Set<SyncKind> kinds) {
        skippedSyncs = EnumSet.copyOf(kinds);
    }

    /** The number of syncs so far. */
    public synchronized long syncs() {
        return syncs;
    }

    /** The number of operations so far, as counted by {@link #failAfter}. */
    public synchronized long operations() {
        return operations;
    }

    /** The total length of all files. */
    public synchronized long bytes() {
        return entries.values().stream().mapToLong(file -> file.length).sum();
    }

    /** The names of all files. */
    public synchronized List<String> files() {
        return List.copyOf(entries.keySet());
    }

    /** The current contents of a file. */
    public synchronized byte[] read(String file) {
        FileContents contents = entries.get(file);
        return Arrays.copyOf(contents.current, contents.length);
    }

    /** Adds a file that is already synced. */
    public synchronized void put(String file, byte[] bytes) {
        FileContents contents = new FileContents();
        contents.current = bytes.clone();
        contents.length = bytes.length;
        contents.synced = bytes.clone();
        contents.syncedLength = bytes.length;
        entries.put(file, contents);
        syncedEntries.put(file, contents);
    }

    /** Counts an operation; returns false if it comes after the power loss. */
    private boolean countOperation() {
        if (operationsLeft == 0) {
            failed = true;
            return false;
        }
        if (operationsLeft != Long.MAX_VALUE) {
            operationsLeft--;
        }
        operations++;
        return true;
    }

    private void requireOperation() throws IOException {
        if (!countOperation()) {
            throw new IOException("power loss");
        }
    }

    private FileContents newFile(String file) throws IOException {
        if (writesLeft == 0) {
            throw new IOException("No space left on device");
        }
        requireOperation();
        FileContents created = new FileContents();
        entries.put(file, created);
        return created;
    }

    private void beginSync() throws IOException {
        Runnable hook;
        synchronized (this) {
            requireOperation();
            syncs++;
            hook = onSync;
        }
        hook.run();
    }

    private record PendingWrite(int at, byte[] bytes) {}

    /** The contents of a file; a {@link PendingWrite} without bytes is a truncation. */
    private static final class FileContents {
        private final List<PendingWrite> unsynced = new ArrayList<>();
        private byte[] current = new byte[0];
        private int length;
        private byte[] synced = new byte[0];
        private int syncedLength;

        void write(int at, byte[] bytes) {
            unsynced.add(new PendingWrite(at, bytes));
            current =
                    Arrays.copyOf(current, Math.max(current.length, grownCapacity(current.length, at + bytes.length)));
            System.arraycopy(bytes, 0, current, at, bytes.length);
            length = Math.max(length, at + bytes.length);
        }

        void truncate(int to) {
            if (to < length) {
                unsynced.add(new PendingWrite(to, null));
                Arrays.fill(current, to, length, (byte) 0);
                length = to;
            }
        }

        void sync() {
            unsynced.forEach(this::applyToSynced);
            unsynced.clear();
        }

        private void applyToSynced(PendingWrite write) {
            if (write.bytes == null) {
                if (write.at < syncedLength) {
                    Arrays.fill(synced, write.at, syncedLength, (byte) 0);
                    syncedLength = write.at;
                }
                return;
            }
            synced = Arrays.copyOf(
                    synced, Math.max(synced.length, grownCapacity(synced.length, write.at + write.bytes.length)));
            System.arraycopy(write.bytes, 0, synced, write.at, write.bytes.length);
            syncedLength = Math.max(syncedLength, write.at + write.bytes.length);
        }

        private static int grownCapacity(int capacity, int wanted) {
            return wanted <= capacity ? capacity : Math.max(wanted, capacity + capacity / 2);
        }

        void loseWrites(SplittableRandom random) {
            boolean allLost = random.nextInt(4) == 0;
            for (PendingWrite write : unsynced) {
                int outcome = random.nextInt(3);
                if (allLost || outcome == 0) {
                    continue;
                }
                if (outcome == 1 || write.bytes == null) {
                    applyToSynced(write);
                } else {
                    applyTorn(write, random);
                }
            }
            unsynced.clear();
            current = Arrays.copyOf(synced, synced.length);
            length = syncedLength;
        }

        /** Applies part of a write: either a prefix of any length, or some of the sectors. */
        private void applyTorn(PendingWrite write, SplittableRandom random) {
            if (random.nextBoolean()) {
                applyToSynced(
                        new PendingWrite(write.at, Arrays.copyOf(write.bytes, random.nextInt(write.bytes.length + 1))));
                return;
            }
            for (int from = 0; from < write.bytes.length; from += SECTOR_BYTES) {
                if (random.nextBoolean()) {
                    applyToSynced(new PendingWrite(
                            write.at + from,
                            Arrays.copyOfRange(write.bytes, from, Math.min(write.bytes.length, from + SECTOR_BYTES))));
                }
            }
        }
    }

    private final class SimulatedDirectory implements StoreDirectory {
        private final int createdIn = generation;

        @Override
        public void createDirectories() {}

        @Override
        public String path(String file) {
            return SCHEME + ":" + id + "/" + file;
        }

        @Override
        public List<String> files() {
            return SimulatedDisk.this.files();
        }

        @Override
        public void createFile(String file) throws IOException {
            synchronized (SimulatedDisk.this) {
                requireLiveProcess();
                if (entries.containsKey(file)) {
                    throw new IOException("file exists: " + file);
                }
                newFile(file);
            }
        }

        @Override
        public void rename(String file, String to) throws IOException {
            synchronized (SimulatedDisk.this) {
                requireLiveProcess();
                requireOperation();
                if (!entries.containsKey(file) || entries.containsKey(to)) {
                    throw new IOException("cannot rename " + file + " to " + to);
                }
                entries.put(to, entries.remove(file));
            }
        }

        @Override
        public void delete(String file) throws IOException {
            synchronized (SimulatedDisk.this) {
                requireLiveProcess();
                requireOperation();
                if (entries.remove(file) == null) {
                    throw new IOException("no such file: " + file);
                }
            }
        }

        @Override
        public void sync() throws IOException {
            requireLiveProcess();
            beginSync();
            synchronized (SimulatedDisk.this) {
                if (!skippedSyncs.contains(SyncKind.DIRECTORY)) {
                    syncedEntries.clear();
                    syncedEntries.putAll(entries);
                }
            }
        }

        private void requireLiveProcess() throws IOException {
            synchronized (SimulatedDisk.this) {
                if (createdIn != generation) {
                    throw new IOException("the process has terminated");
                }
            }
        }
    }

    /** A file handle, valid until its process terminates. */
    private final class OpenFile extends FileBaseDefault {
        private final FileContents contents;
        private final int openedIn = generation;

        OpenFile(FileContents contents) {
            this.contents = contents;
        }

        private void requireLiveProcess() throws IOException {
            if (openedIn != generation) {
                throw new IOException("the process has terminated");
            }
        }

        @Override
        public long size() {
            synchronized (SimulatedDisk.this) {
                return contents.length;
            }
        }

        @SuppressWarnings("UnsynchronizedOverridesSynchronized") // Safe: no shared position is moved.
        @Override
        public int read(ByteBuffer into, long position) throws IOException {
            synchronized (SimulatedDisk.this) {
                requireLiveProcess();
                int count = (int) Math.min(into.remaining(), contents.length - position);
                if (count <= 0) {
                    return into.hasRemaining() ? -1 : 0;
                }
                into.put(contents.current, (int) position, count);
                return count;
            }
        }

        @SuppressWarnings("UnsynchronizedOverridesSynchronized") // Safe: no shared position is moved.
        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            synchronized (SimulatedDisk.this) {
                requireLiveProcess();
                requireOperation();
                if (writesLeft == 0) {
                    rejectWrite(from, (int) position);
                }
                writesLeft -= writesLeft == Long.MAX_VALUE ? 0 : 1;
                byte[] bytes = new byte[from.remaining()];
                from.get(bytes);
                contents.write((int) position, bytes);
                return bytes.length;
            }
        }

        private void rejectWrite(ByteBuffer from, int position) throws IOException {
            if (partialWrite && from.hasRemaining()) {
                byte[] part = new byte[random.nextInt(from.remaining())];
                from.get(part);
                contents.write(position, part);
            }
            partialWrite = false;
            throw new IOException("No space left on device");
        }

        /** Does nothing after the power loss; an exception would make MVStore retry ten times. */
        @Override
        protected void implTruncate(long size) throws IOException {
            synchronized (SimulatedDisk.this) {
                if (openedIn == generation && countOperation()) {
                    contents.truncate((int) size);
                }
            }
        }

        @Override
        public void force(boolean withLength) throws IOException {
            synchronized (SimulatedDisk.this) {
                requireLiveProcess();
            }
            beginSync();
            synchronized (SimulatedDisk.this) {
                requireLiveProcess();
                if (!skippedSyncs.contains(withLength ? SyncKind.FILE : SyncKind.CONTENTS)) {
                    contents.sync();
                }
            }
        }

        /** Locks are granted and have no effect. */
        @Override
        public FileLock tryLock(long position, long size, boolean shared) {
            return new FileLock(this, position, size, shared) {
                @Override
                public boolean isValid() {
                    return true;
                }

                @Override
                public void release() {}
            };
        }
    }

    /** Paths of files on simulated disks: the disk's id, a slash and the file name. */
    private static final class SimulatedPath extends FilePath {
        private static SimulatedPath forName(String path) {
            SimulatedPath created = new SimulatedPath();
            created.name = path;
            return created;
        }

        private String[] parts() {
            return name.substring(SCHEME.length() + 1).split("/", 2);
        }

        private SimulatedDisk disk() {
            WeakReference<SimulatedDisk> found = DISKS.get(Long.valueOf(parts()[0]));
            SimulatedDisk disk = found == null ? null : found.get();
            if (disk == null) {
                throw new IllegalStateException("no simulated disk: " + name);
            }
            return disk;
        }

        private String file() {
            String[] parts = parts();
            return parts.length < 2 ? "" : parts[1];
        }

        @Override
        public FileChannel open(String mode) throws IOException {
            SimulatedDisk disk = disk();
            synchronized (disk) {
                FileContents contents = disk.entries.get(file());
                return disk.new OpenFile(contents == null ? disk.newFile(file()) : contents);
            }
        }

        @Override
        public boolean exists() {
            return isDirectory() || isRegularFile();
        }

        @Override
        public boolean isDirectory() {
            return file().isEmpty();
        }

        @Override
        public boolean isRegularFile() {
            SimulatedDisk disk = disk();
            synchronized (disk) {
                return disk.entries.containsKey(file());
            }
        }

        @Override
        public FilePath getParent() {
            return isDirectory() ? null : forName(SCHEME + ":" + parts()[0]);
        }

        @Override
        public boolean canWrite() {
            return true;
        }

        @Override
        public boolean isAbsolute() {
            return true;
        }

        @Override
        public FilePath toRealPath() {
            return this;
        }

        @Override
        public String getScheme() {
            return SCHEME;
        }

        @Override
        public FilePath getPath(String path) {
            return forName(path);
        }

        @Override
        public long size() {
            SimulatedDisk disk = disk();
            synchronized (disk) {
                FileContents contents = disk.entries.get(file());
                return contents == null ? 0 : contents.length;
            }
        }

        @Override
        public long lastModified() {
            return 0;
        }

        @Override
        public boolean createFile() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void moveTo(FilePath to, boolean replace) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void delete() {
            throw new UnsupportedOperationException();
        }

        @Override
        public List<FilePath> newDirectoryStream() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void createDirectory() {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean setReadOnly() {
            throw new UnsupportedOperationException();
        }
    }
}
