package tinworks.leaks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that {@link LeakCheck} reports a leaked buffer, and where it was allocated. */
class LeakCheckTest {
    @Test
    void reportsABufferThatWasNotReleased() throws InterruptedException {
        List<String> before = LeakCheck.collectReports();
        ByteBufAllocator.DEFAULT.buffer(16).writeByte(1);
        List<String> found = LeakCheck.collectReports();
        assertEquals(List.of(), before);
        assertEquals(1, found.size(), found.toString());
        assertTrue(
                found.get(0).contains(LeakCheckTest.class.getName()), "report lacks the place of allocation: " + found);
    }
}
