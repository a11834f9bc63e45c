package tinworks.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Addresses are numeric. Names used to be looked up while parsing, which runs on an event loop for the platform's host
 * list and for changed settings: the process blocked until the name server answered.
 */
class AddressTest {
    @Test
    void parsesOnlyNumericAddresses() {
        assertEquals(new InetSocketAddress("10.1.0.18", 8_080), Address.parse("10.1.0.18:8080"));
        assertEquals(new InetSocketAddress("255.0.255.0", 0), Address.parse("255.0.255.0:0"));
        for (String invalid : List.of(
                "",
                ":",
                "80",
                "10.1.0.18",
                "10.1.0.18:",
                "10.1.0:80",
                "10.1.0.18.2:80",
                "10.1.0.256:80",
                "10.1.0.-1:80",
                "10.1..1:80",
                "10.1.0.0001:80",
                "10.1.0.18:65536",
                "10.1.0.18:x",
                "a.b.c.d:80")) {
            assertThrows(IllegalArgumentException.class, () -> Address.parse(invalid), invalid);
        }
    }

    @Test
    @Timeout(value = 2, unit = TimeUnit.SECONDS)
    void doesNotLookUpNames() {
        for (int i = 0; i < 1_000; i++) {
            assertFalse(Address.isValid("name-" + i + ".example:80"));
        }
    }

    @Test
    void resolveAcceptsNames() {
        assertEquals(80, Address.resolve("localhost:80").getPort());
    }
}
