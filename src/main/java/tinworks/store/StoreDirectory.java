package tinworks.store;

import java.io.IOException;
import java.util.List;

/**
 * The folder that a store lives in. A file that was made, renamed or removed is only sure to be so after a loss of
 * power once the folder has been synced.
 */
public interface StoreDirectory {
    /** Makes the folder where there is none; once this returns it outlasts a loss of power. */
    void createDirectories() throws IOException;

    /** The full name of a file in it, as MVStore's file systems take it. */
    String path(String file);

    /** The names of the files in it, in no order. */
    List<String> files() throws IOException;

    /** Makes an empty file; there must be none of this name. */
    void createFile(String file) throws IOException;

    /** Renames a file; there must be none of the new name. */
    void rename(String file, String to) throws IOException;

    /** Removes a file. */
    void delete(String file) throws IOException;

    /** Returns once all changes of names so far outlast a loss of power. */
    void sync() throws IOException;
}
