package tinworks.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinworks.config.ConfigurationHistory;
import tinworks.json.Json;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Output;
import tinworks.raft.Snapshot;
import tinworks.standin.Ledger;
import tinworks.standin.StandInHost;
import tinworks.store.CoreStore;

/** The commands, their output and their exit codes. */
class CommandLineToolTest {
    private static final String SETTINGS =
            "{\"node\":\"core-1\",\"az\":\"z\",\"ip\":\"10.1.0.9\",\"listen\":{\"ctl\":\"10.1.0.9:8544\"},"
                    + "\"portRange\":[7540,7555],\"seeds\":[\"10.1.0.9:8544\"],\"bootstrap\":true,\"limits\":{\"nofile\":4096},"
                    + "\"datadir\":\"/data\",\"survive\":{\"nodes\":1},\"bounds\":{\"graceS\":6},\"provider\":{\"addr\":\"10.2.0.1:80\"}}";

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return CommandLineTool.run(new PrintWriter(out), new PrintWriter(err), args);
    }

    private String file(String text) throws Exception {
        return Files.writeString(folder.resolve("file.json"), text).toString();
    }

    @Test
    void helpNamesTheCommandsAndAWrongOneIsToldApart() {
        assertEquals(0, run("--help"));
        assertTrue(out.toString().contains("check") && out.toString().contains("edge"));
        assertEquals(2, run());
        assertEquals(2, run("chekc"));
    }

    @Test
    void schemaPrintsJson() throws Exception {
        assertEquals(0, run("schema"));
        assertEquals("object", Json.read(out.toString()).field("type").text());
    }

    @Test
    void checkNamesTheFieldAtFault() throws Exception {
        assertEquals(0, run("check", file(SETTINGS)), err.toString());
        assertEquals(1, run("check", file(SETTINGS.replace("\"nodes\":1", "\"nodes\":-1"))));
        assertTrue(err.toString().contains("survive.nodes"), err.toString());
        assertEquals(1, run("check", file(SETTINGS.replace("10.2.0.1:80", "nowhere"))));
        assertTrue(err.toString().contains("provider.addr"), err.toString());
        assertEquals(1, run("check", file("{\"rev\":1,\"svcs\":[],\"routes\":[{\"name\":\"r\"}]}")));
        assertTrue(err.toString().contains("routes[0].domain"), err.toString());
        assertEquals(1, run("check", folder.resolve("none").toString()));
    }

    @Test
    void stateReadsWhatACoreMachineHasOnItsDisk() throws Exception {
        Path disk = folder.resolve("disk");
        CoreStore store = CoreStore.open(disk);
        store.initialize(5, HardState.NONE, Snapshot.NONE);
        byte[] command = ConfigurationHistory.command(0, 3, "{\"rev\":3}".getBytes(StandardCharsets.UTF_8));
        store.write(new Output(
                1,
                new HardState(1, 5),
                null,
                1,
                List.of(new Entry(1, 1, Entry.Kind.COMMAND, command)),
                1,
                List.of(),
                null,
                List.of(),
                List.of()));
        store.close();
        assertEquals(0, run("state", "verify", disk.toString()), err.toString());
        assertTrue(out.toString().contains("1 entries, configuration 3"), out.toString());
        assertEquals(0, run("state", "export", disk.toString()));
        assertTrue(out.toString().contains("{\"rev\":3}"));
        assertEquals(1, run("state", "verify", folder.resolve("nowhere").toString()));
    }

    @Test
    void loadReportsWhatAServerAnswered() throws Exception {
        ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        StandInHost host = NodeProcess.call(
                loop,
                () -> new StandInHost(loop, new StandInHost.Nature("i-1", "s", "z", 50, 50, 2, 1, 0), 1, new Ledger()));
        NodeProcess.call(loop, () -> host.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        Path json = folder.resolve("figures.json");
        Path csv = folder.resolve("seconds.csv");
        String address = "127.0.0.1:" + host.address().getPort();
        try {
            assertEquals(
                    0,
                    run(
                            "load",
                            address,
                            "--host",
                            "x.example",
                            "--prefix",
                            "/p/",
                            "--rate",
                            "100",
                            "--for",
                            "1",
                            "--json",
                            json.toString(),
                            "--csv",
                            csv.toString()),
                    err.toString());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
        }
        Json figures = Json.read(Files.readString(json));
        assertTrue(figures.field("sent").number(0).intValue() > 50, figures.text());
        assertEquals(figures.field("sent").number(0), figures.field("served").number(1));
        assertTrue(figures.field("ms").field("p50.0").number(0).doubleValue() >= 1, "half of the work is sure");
        assertTrue(Files.readAllLines(csv).size() >= 2);
    }

    @Test
    void loadDemoAndHollowNameTheOptionAtFault() {
        assertEquals(2, run("load", "127.0.0.1:1", "--host", "x", "--prefix", "/p"));
        assertTrue(err.toString().contains("--prefix"), err.toString());
        assertEquals(2, run("load", "nowhere", "--host", "x", "--prefix", "/p/"));
        assertTrue(err.toString().contains("nowhere"), err.toString());
        assertEquals(2, run("demo", "--rate", "0"));
        assertEquals(2, run("hollow", "--cores", "2"));
        assertTrue(err.toString().contains("--cores"), err.toString());
        assertEquals(2, run("demo", "--fault", "3:unheard-of"));
        assertTrue(err.toString().contains("unheard-of"), err.toString());
    }
}
