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
 * Builds the configuration messages for edges: the changes since the version that an edge holds, or the full
 * configuration if that version is no longer retained. The operator's JSON is parsed once per version, and messages are
 * encoded once and reused for edges that hold the same version.
 */
final class ConfigurationFeed {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFeed.class);
    /** Versions arrive seconds apart; an edge that missed more than these gets the full configuration. */
    private static final int MAX_CHANGES = 16;
    /** Limit on the total encoded size of the retained changes; the oldest are evicted first. */
    static final int MAX_CHANGES_BYTES = 256 << 10;

    /** A change with its encoded size in bytes. */
    private record EncodedChange(ConfigurationChange change, int bytes) {}

    private final ArrayDeque<EncodedChange> changes = new ArrayDeque<>();
    private int changesBytes;
    private Configuration newest;
    /** The last version that was processed, whether or not it could be parsed. */
    private long followedRev;

    private PeerMessage fullMessage;
    private PeerMessage.ConfigurationChanged lastChangeMessage;

    /**
     * Processes the newest version of the history. Versions are validated before they are accepted, but a core node
     * with another release may have accepted one that this release cannot parse. Such a version is skipped, and edges
     * keep the previous one.
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
            LOG.error(
                    "cannot parse committed configuration {}, keeping the previous one: {}",
                    history.rev(),
                    e.getMessage());
            return;
        }
        if (newest != null) {
            retain(ConfigurationChange.between(newest, next));
        }
        newest = next;
        fullMessage = null;
        lastChangeMessage = null;
    }

    /**
     * Retains a change within the limits. The limit on bytes guards against versions that change everything: each such
     * change is as large as the full configuration and is useful to few edges.
     */
    private void retain(ConfigurationChange change) {
        int bytes = ConfigurationCodec.write(change).length;
        changes.addLast(new EncodedChange(change, bytes));
        changesBytes += bytes;
        while (changes.size() > MAX_CHANGES || changesBytes > MAX_CHANGES_BYTES) {
            changesBytes -= changes.removeFirst().bytes();
        }
    }

    /** The number of retained changes. */
    int retainedChanges() {
        return changes.size();
    }

    /** The message for an edge that holds this version (0 for none), or null if there is nothing newer. */
    PeerMessage since(long held) {
        if (newest == null || held >= newest.rev()) {
            return null;
        }
        if (lastChangeMessage != null && lastChangeMessage.base() == held) {
            return lastChangeMessage;
        }
        ConfigurationChange merged = null;
        for (EncodedChange encoded : changes) {
            ConfigurationChange change = encoded.change();
            if (merged != null) {
                merged = merged.andThen(change);
            } else if (change.base() == held) {
                merged = change;
            }
        }
        if (merged != null) {
            lastChangeMessage = new PeerMessage.ConfigurationChanged(
                    held, newest.rev(), CompressedBytes.compress(ConfigurationCodec.write(merged)));
            return lastChangeMessage;
        }
        if (fullMessage == null) {
            fullMessage = new PeerMessage.ConfigurationBody(
                    newest.rev(), CompressedBytes.compress(ConfigurationCodec.write(newest)));
        }
        return fullMessage;
    }
}
