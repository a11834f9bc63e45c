package tinworks.net;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** The channel types that a gateway uses for all its connections. */
public record Transport(Class<? extends ServerChannel> server, Class<? extends Channel> client) {
    /** TCP sockets. */
    public static final Transport TCP = new Transport(NioServerSocketChannel.class, NioSocketChannel.class);

    /** Unix domain sockets, which cannot be reached from other machines. */
    static final Transport UNIX_DOMAIN =
            new Transport(NioServerDomainSocketChannel.class, NioDomainSocketChannel.class);

    /** Channels within this process, without sockets; they need an event loop for local channels. */
    static final Transport IN_MEMORY = new Transport(LocalServerChannel.class, LocalChannel.class);
}
