package tinworks.channel;

import java.util.Collection;
import java.util.List;

/**
 * The connections that a process dials: one to each address that is wanted, dialled again for as long as it is. Belongs
 * to one thread.
 */
public interface ConnectionManager {
    /** From now on these addresses are wanted, except an own one; connections to others are closed. */
    void setAddresses(Collection<String> addresses);

    /** The dialled connections that are open. */
    List<PeerConnection> openConnections();
}
