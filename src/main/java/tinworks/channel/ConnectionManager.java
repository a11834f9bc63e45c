package tinworks.channel;

import java.util.Collection;
import java.util.List;

/**
 * Maintains the outbound connections of a process: one to each configured address, reconnecting when it fails. Confined
 * to one thread.
 */
public interface ConnectionManager {
    /** Sets the addresses to connect to, this process's own excepted; connections to other addresses are closed. */
    void setAddresses(Collection<String> addresses);

    /** The outbound connections that are open. */
    List<PeerConnection> openConnections();
}
