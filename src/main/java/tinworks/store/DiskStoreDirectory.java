package tinworks.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A store directory in the machine's file system.
 *
 * @param location its path
 */
public record DiskStoreDirectory(Path location) implements StoreDirectory {
    @Override
    public void createDirectories() throws IOException {
        createDirectories(location.toAbsolutePath());
    }

    /** A new directory is durable only once its parent has been synced. */
    private static void createDirectories(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            createDirectories(directory.getParent());
            Files.createDirectory(directory);
            sync(directory.getParent());
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

    private static void sync(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
