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
 * Addresses are numbers. A name was looked up where it was read, which is an event loop for the hosts of the platform's
 * list and for changed settings: the process stood still for as long as nobody answered.
 */
class AddressTest {
    @Test
    void numbersAreReadAndNothingElseIs() {
        assertEquals(new InetSocketAddress("10.1.0.18", 8_080), Address.parse("10.1.0.18:8080"));
        assertEquals(new InetSocketAddress("255.0.255.0", 0), Address.parse("255.0.255.0:0"));
        for (String none : List.of(
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
            assertThrows(IllegalArgumentException.class, () -> Address.parse(none), none);
        }
    }

    @Test
    @Timeout(value = 2, unit = TimeUnit.SECONDS)
    void aNameIsNotLookedUp() {
        for (int i = 0; i < 1_000; i++) {
            assertFalse(Address.isValid("name-" + i + ".example:80"));
        }
    }

    @Test
    void whoMayWaitMayUseNames() {
        assertEquals(80, Address.resolve("localhost:80").getPort());
    }
}
