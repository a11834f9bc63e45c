package tinworks.leaks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The check of all test classes finds what it is for. */
class LeakCheckTest {
    @Test
    void findsABufferThatNobodyReleased() throws InterruptedException {
        List<String> before = LeakCheck.find();
        ByteBufAllocator.DEFAULT.buffer(16).writeByte(1);
        List<String> found = LeakCheck.find();
        assertEquals(List.of(), before);
        assertEquals(1, found.size(), found.toString());
        assertTrue(found.get(0).contains(LeakCheckTest.class.getName()), "tells where the buffer was made: " + found);
    }
}
