package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CoreTest {
    private static final long LARGEST_FIRST_ID = 1L + 0xffff_ffffL;

    @Test
    void theIdOfAnEmptyMachineIsPositiveAndAboveAllOfAFirstStart() {
        for (int i = 0; i < 200; i++) {
            long id = Core.newId("10.1.0." + i + ":7540");
            assertTrue(id > LARGEST_FIRST_ID, Long.toString(id));
        }
    }
}
