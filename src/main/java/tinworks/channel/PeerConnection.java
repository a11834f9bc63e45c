package tinworks.channel;

import tinworks.channel.PeerMessage.Hello;

/** One connection between two processes of the system, as each of them sees it. Belongs to one thread. */
public interface PeerConnection {
    /** Told on that thread. */
    interface Listener {
        /** The far side has said who it is. */
        void opened(PeerConnection conversation);

        /** Something else has come. */
        void received(PeerConnection conversation, PeerMessage signal);

        /** Nothing more will come; told once, and only after {@link #opened}. */
        void closed(PeerConnection conversation);

        /** A line for the operators. */
        void log(String line);
    }

    /** Who the far side is; null before it has said so. */
    Hello peer();

    /** Whether this side dialled. */
    boolean isOutbound();

    /** Whether something can be said. */
    boolean isOpen();

    /** Says something; lost where the connection is no more, as whatever is on its way then. */
    void send(PeerMessage signal);

    /** Ends it; {@link Listener#closed} follows. */
    void close(String why);
}
