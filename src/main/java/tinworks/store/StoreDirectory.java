package tinworks.store;

import java.io.IOException;
import java.util.List;

/**
 * The directory that holds a store's files. Creating, renaming or deleting a file is durable only once the directory
 * has been synced.
 */
public interface StoreDirectory {
    /** Creates the directory and its missing parents; they are durable when this returns. */
    void createDirectories() throws IOException;

    /** The full path of a file in this directory, as MVStore's file systems expect it. */
    String path(String file);

    /** The names of the files in this directory, in no particular order. */
    List<String> files() throws IOException;

    /** Creates an empty file; the name must not exist yet. */
    void createFile(String file) throws IOException;

    /** Renames a file; the new name must not exist yet. */
    void rename(String file, String to) throws IOException;

    /** Deletes a file. */
    void delete(String file) throws IOException;

    /** Makes all earlier creations, renames and deletions durable (fsync of the directory). */
    void sync() throws IOException;
}
