package tinworks.deploy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The archive of loaded classes that the system's deploy file makes and uses. */
class ClassArchiveTest {
    private static final Path DEPLOY = Path.of("deploy/system.toml");
    private static final Path CLASSES = Path.of("deploy/system-classes.lst");
    private static final Pattern ARCHIVE = Pattern.compile("-XX:SharedArchiveFile=(\\S+)");

    @Test
    void everyRoleMapsTheArchiveThatTheBuildMakesWhereItWasMade() throws IOException {
        List<String> lines = Files.readAllLines(DEPLOY);
        Matcher made = ARCHIVE.matcher(lines.stream()
                .filter(line -> line.startsWith("build"))
                .findFirst()
                .orElseThrow());
        assertTrue(made.find());
        List<String> roles =
                lines.stream().filter(line -> line.startsWith("run")).toList();
        assertEquals(2, roles.size());
        for (String run : roles) {
            Matcher used = ARCHIVE.matcher(run);
            assertTrue(used.find());
            assertEquals(made.group(1), used.group(1));
            // Mapped elsewhere, every page of it is written, and each process pays for its own copy.
            assertTrue(run.contains("-XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0"), run);
        }
    }

    @Test
    void theListNamesOnlyClassesThatThereAreAndBothRoles() throws IOException {
        List<String> ours = Files.readAllLines(CLASSES).stream()
                .filter(line -> line.startsWith("tinworks/"))
                .map(line -> line.split(" ")[0])
                .toList();
        for (String name : ours) {
            assertTrue(Files.exists(Path.of("target/classes", name + ".class")), name + " is gone; make the list anew");
        }
        assertTrue(ours.contains("tinworks/edge/EdgeNode") && ours.contains("tinworks/control/CoreNode"));
    }
}
