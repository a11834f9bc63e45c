package tinworks.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.networknt.schema.InputFormat;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The published JSON schema agrees with the reader, as far as a schema can express its rules. */
class ConfigurationSchemaTest {
    private static final String VALID =
            "{\"rev\":7,\"routes\":[{\"name\":\"a\",\"domain\":\"x.example\",\"prefix\":\"/p/\",\"type\":\"idem\","
                    + "\"timeoutMs\":1200,\"targetMs\":300,\"prio\":2,\"split\":[{\"svc\":\"s\",\"weight\":90},{\"svc\":\"t\",\"weight\":0.5}],"
                    + "\"tries\":2},{\"name\":\"b\",\"domain\":\"y.example\",\"prefix\":\"/\",\"type\":\"mutating\",\"timeoutMs\":1500,\"svc\":\"t\"}],"
                    + "\"svcs\":[{\"name\":\"s\",\"check\":\"/h\",\"maxconn\":120,\"proto\":\"h1\",\"tls\":false},{\"name\":\"t\"}],"
                    + "\"limits\":{\"hdrBytes\":16384,\"bodyMaxBytes\":0,\"hdrMs\":3000,\"idleMs\":15000}}";
    private static final String[] VALUES = {
        "null", "-1", "0", "1", "1.5", "\"\"", "\"idem\"", "\"s\"", "[]", "{}", "true", "99999999999"
    };

    private final JsonSchema schema;

    ConfigurationSchemaTest() throws IOException {
        try (InputStream in = ConfigurationReader.class.getResourceAsStream("configuration.schema.json")) {
            schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private boolean schemaAccepts(String text) {
        return schema.validate(text, InputFormat.JSON).isEmpty();
    }

    private static boolean readerAccepts(String text) {
        try {
            ConfigurationReader.read(text.getBytes(StandardCharsets.UTF_8));
            return true;
        } catch (InvalidConfiguration e) {
            return false;
        }
    }

    @Test
    void bothAcceptAValidConfiguration() {
        assertTrue(readerAccepts(VALID));
        assertTrue(
                schemaAccepts(VALID), schema.validate(VALID, InputFormat.JSON).toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"rev\":7|\"rev\":0",
                "\"rev\":7|\"rev\":\"7\"",
                "\"prefix\":\"/p/\"|\"prefix\":\"p\"",
                "\"type\":\"idem\"|\"type\":\"odd\"",
                "\"timeoutMs\":1200,|",
                "\"weight\":90|\"weight\":-1",
                "\"tries\":2|\"tries\":0",
                "\"svc\":\"t\"}],\"svcs\"|\"svc\":7}],\"svcs\"",
                "\"proto\":\"h1\"|\"proto\":\"h2\"",
                "\"tls\":false|\"tls\":true",
                "\"maxconn\":120|\"maxconn\":0",
                "\"hdrBytes\":16384|\"hdrBytes\":1",
                "\"name\":\"t\"}]|\"name\":\"\"}]"
            })
    void bothRejectAnInvalidField(String change) {
        String[] parts = change.split("\\|", 2);
        assertTrue(VALID.contains(parts[0]));
        String changed = VALID.replace(parts[0], parts[1]);
        assertFalse(readerAccepts(changed));
        assertFalse(schemaAccepts(changed));
    }

    /**
     * Replaces random values by others. Service names are not replaced, because only the reader can check references to
     * services.
     */
    @Test
    void schemaAndReaderAgreeOnRandomFieldValues() {
        SplittableRandom random = new SplittableRandom(5);
        String[] fields = VALID.split("(?<=[:,\\[{])|(?=[,\\]}])");
        int rejected = 0;
        for (int i = 0; i < 3_000; i++) {
            String[] changed = fields.clone();
            int at = random.nextInt(changed.length);
            if (!changed[at].matches("\\d[\\d.]*|true|false|\"idem\"|\"h1\"|\"/p/\"")) {
                continue;
            }
            changed[at] = VALUES[random.nextInt(VALUES.length)];
            String text = String.join("", changed);
            assertEquals(readerAccepts(text), schemaAccepts(text), text);
            rejected += readerAccepts(text) ? 0 : 1;
        }
        assertTrue(rejected > 100, "too few invalid configurations for a meaningful test: " + rejected);
    }
}
