package tinworks.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A folder of the machine's disk.
 *
 * @param location where it is
 */
public record DiskStoreDirectory(Path location) implements StoreDirectory {
    @Override
    public void createDirectories() throws IOException {
        make(location.toAbsolutePath());
    }

    /** A folder that is new is only there for good once the one that it stands in is synced. */
    private static void make(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            make(folder.getParent());
            Files.createDirectory(folder);
            sync(folder.getParent());
        }
    }

    @Override
    public String path(String file) {
        return location.resolve(file).toString();
    }

    @Override
    public List<String> files() throws IOException {
        try (Stream<Path> files = Files.list(location)) {
            return files.map(file -> file.getFileName().toString()).toList();
        }
    }

    @Override
    public void createFile(String file) throws IOException {
        Files.createFile(location.resolve(file));
    }

    @Override
    public void rename(String file, String to) throws IOException {
        Files.move(location.resolve(file), location.resolve(to));
    }

    @Override
    public void delete(String file) throws IOException {
        Files.delete(location.resolve(file));
    }

    @Override
    public void sync() throws IOException {
        sync(location);
    }

    private static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
