package tinworks.net;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** The kind of sockets that a gateway uses on all its sides. */
public record Transport(Class<? extends ServerChannel> server, Class<? extends Channel> client) {
    /** TCP. */
    public static final Transport TCP = new Transport(NioServerSocketChannel.class, NioSocketChannel.class);

    /** Sockets in the file system, which nothing outside this machine can reach. */
    static final Transport UNIX_DOMAIN =
            new Transport(NioServerDomainSocketChannel.class, NioDomainSocketChannel.class);

    /** No sockets at all: both ends lie in this process, and its event loop has to be of the same kind. */
    static final Transport IN_MEMORY = new Transport(LocalServerChannel.class, LocalChannel.class);
}
