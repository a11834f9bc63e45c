package tinworks.control;

import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.channel.ConfigurationCodec;
import tinworks.channel.PeerMessage;
import tinworks.config.CompressedBytes;
import tinworks.config.Configuration;
import tinworks.config.ConfigurationChange;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationReader;
import tinworks.config.InvalidConfiguration;

/**
 * The configuration in force as edges are told it: what has changed since the version that one holds, or the whole
 * where that isn't known here. Read from the operator's JSON once, and put into bytes once for all who ask alike.
 */
final class ConfigurationFeed {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFeed.class);
    /** Versions come seconds apart; an edge that was away for longer is told the whole. */
    private static final int MAX_CHANGES = 16;
    /** What the changes may take as bytes together; the oldest go first. */
    static final int MAX_CHANGES_BYTES = 256 << 10;

    /** A change, and what it takes as bytes. */
    private record EncodedChange(ConfigurationChange change, int bytes) {}

    private final ArrayDeque<EncodedChange> changes = new ArrayDeque<>();
    private int changesBytes;
    private Configuration newest;
    /** The last version that was looked at, whether or not it could be read. */
    private long followedRev;

    private PeerMessage fullMessage;
    private PeerMessage.ConfigurationChanged lastChangeMessage;

    /**
     * Follows the history. Its versions were checked before they were taken; one that this program can't read all the
     * same, since another one took it, is left out, and edges go on with the one before.
     */
    void follow(ConfigurationHistory history) {
        if (history.rev() == followedRev) {
            return;
        }
        followedRev = history.rev();
        Configuration next;
        try {
            next = ConfigurationReader.read(CompressedBytes.decompressingStream(history.compressedBody()));
        } catch (InvalidConfiguration e) {
            LOG.error("can't read the configuration {} that was taken: {}", history.rev(), e.getMessage());
            return;
        }
        if (newest != null) {
            retain(ConfigurationChange.between(newest, next));
        }
        newest = next;
        fullMessage = null;
        lastChangeMessage = null;
    }

    /** Guards against changes of everything, each of which is as long as the whole and is of use to few. */
    private void retain(ConfigurationChange change) {
        int bytes = ConfigurationCodec.write(change).length;
        changes.addLast(new EncodedChange(change, bytes));
        changesBytes += bytes;
        while (changes.size() > MAX_CHANGES || changesBytes > MAX_CHANGES_BYTES) {
            changesBytes -= changes.removeFirst().bytes();
        }
    }

    /** How many changes are kept. */
    int retainedChanges() {
        return changes.size();
    }

    /** What to tell an edge that holds this version, 0 for none; null while there is nothing to tell. */
    PeerMessage since(long held) {
        if (newest == null || held >= newest.rev()) {
            return null;
        }
        if (lastChangeMessage != null && lastChangeMessage.base() == held) {
            return lastChangeMessage;
        }
        ConfigurationChange all = null;
        for (EncodedChange kept : changes) {
            ConfigurationChange change = kept.change();
            if (all != null) {
                all = all.andThen(change);
            } else if (change.base() == held) {
                all = change;
            }
        }
        if (all != null) {
            lastChangeMessage = new PeerMessage.ConfigurationChanged(
                    held, newest.rev(), CompressedBytes.compress(ConfigurationCodec.write(all)));
            return lastChangeMessage;
        }
        if (fullMessage == null) {
            fullMessage = new PeerMessage.ConfigurationBody(
                    newest.rev(), CompressedBytes.compress(ConfigurationCodec.write(newest)));
        }
        return fullMessage;
    }
}
