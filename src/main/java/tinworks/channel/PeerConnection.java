package tinworks.channel;

import tinworks.channel.PeerMessage.Hello;

/** One side of a connection between two processes of the system. Confined to one thread. */
public interface PeerConnection {
    /** Callbacks, called on the connection's thread. */
    interface Listener {
        /** The peer's {@link Hello} has been received. */
        void opened(PeerConnection connection);

        /** A message other than Hello and Ping has been received. */
        void received(PeerConnection connection, PeerMessage message);

        /** The connection is closed; called once, and only after {@link #opened}. */
        void closed(PeerConnection connection);

        /** Receives a log line for operators. */
        void log(String line);
    }

    /** The peer's Hello; null before it has been received. */
    Hello peer();

    /** Whether this side opened the connection. */
    boolean isOutbound();

    /** Whether messages can be sent: the peer's Hello has been received and the connection is not closed. */
    boolean isOpen();

    /** Sends a message. It is lost if the connection is closed or closes before it arrives. */
    void send(PeerMessage message);

    /** Closes the connection; {@link Listener#closed} follows. */
    void close(String reason);
}
