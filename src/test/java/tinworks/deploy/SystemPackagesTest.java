package tinworks.deploy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Properties;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The system packages that a clean build needs are listed in each deploy file and in the README. */
class SystemPackagesTest {
    private static final Path TABLE = Path.of("src/test/resources/deploy/package-of-program.properties");
    private static final String ESSENTIAL = "essential";
    private static final Pattern COMMAND = Pattern.compile("^(?:build|run|sim) = \"(.*)\"$", Pattern.MULTILINE);
    private static final Pattern PACKAGES = Pattern.compile("^packages = \\[(.*)\\]$", Pattern.MULTILINE);
    private static final Pattern INSTALLATION =
            Pattern.compile("^    apt-get install (?!-)([^#\\n]*?) *(?:#.*)?$", Pattern.MULTILINE);
    /** What a build makes itself needs no package. */
    private static final String BUILT = "target/";
    /** Programs that Maven's launcher and compiler plugin start, which no command names. */
    private static final Set<String> STARTED_BY_MAVEN =
            Set.of("java", "javac", "sh", "dirname", "expr", "ls", "tr", "uname");

    @ParameterizedTest
    @ValueSource(strings = {"deploy/system.toml", "deploy/balancer.toml"})
    void everyProgramOfACommandIsInAListedPackage(Path deployFile) throws IOException {
        String text = Files.readString(deployFile);
        Properties packageOf = table();
        Set<String> programs = programs(text);
        assertTrue(programs.contains("mvn"), () -> "no build command was found in " + deployFile);
        programs.addAll(STARTED_BY_MAVEN);
        Set<String> listed = listed(text);
        for (String program : programs) {
            String owner = packageOf.getProperty(program);
            assertTrue(owner != null, () -> program + " of " + deployFile + " is missing from " + TABLE);
            assertTrue(
                    owner.equals(ESSENTIAL) || listed.contains(owner),
                    () -> owner + ", which owns " + program + ", is not in packages of " + deployFile);
        }
    }

    @Test
    void theReadmeInstallsTheSamePackages() throws IOException {
        Matcher line = INSTALLATION.matcher(Files.readString(Path.of("README.md")));
        assertTrue(line.find(), "the README has no line that installs the packages");
        Set<String> installed = Set.copyOf(List.of(line.group(1).trim().split(" +")));
        assertEquals(listed(Files.readString(Path.of("deploy/system.toml"))), installed);
        assertEquals(listed(Files.readString(Path.of("deploy/balancer.toml"))), installed);
    }

    @Test
    void aProgramInTheMiddleOfACommandIsFound() {
        assertEquals(
                Set.of("mvn", "rm", "jlink"),
                programs("build = \"mvn -q package && rm -rf x; exec jlink -o target/r && target/r/bin/java -v\"\n"));
    }

    private static Properties table() throws IOException {
        Properties table = new Properties();
        try (Reader reader = Files.newBufferedReader(TABLE)) {
            table.load(reader);
        }
        return table;
    }

    private static Set<String> programs(String deployFile) {
        List<String> commands = new ArrayList<>();
        Matcher command = COMMAND.matcher(deployFile);
        while (command.find()) {
            commands.addAll(List.of(command.group(1).split("&&|\\|\\||[;|]")));
        }
        return commands.stream()
                .map(part -> part.trim().replaceFirst("^exec +", "").split(" ")[0])
                .filter(program -> !program.startsWith(BUILT))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static Set<String> listed(String deployFile) {
        Matcher packages = PACKAGES.matcher(deployFile);
        assertTrue(packages.find(), "packages is missing");
        Stream<String> names = Arrays.stream(packages.group(1).split(","))
                .map(name -> name.trim().replace("\"", ""));
        return names.filter(name -> !name.isEmpty()).collect(Collectors.toSet());
    }
}
