package tinworks.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Ports of this machine that nobody uses. */
public final class FreePorts {
    private FreePorts() {}

    /** So many different ports that were free at an address a moment ago. */
    public static List<Integer> at(String ip, int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            held.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }
}
