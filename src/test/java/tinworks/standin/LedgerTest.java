package tinworks.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The ledger of what hosts ran. */
class LedgerTest {
    private final Ledger ledger = new Ledger();

    @Test
    void twoTriesOfOneRequestThatRunAreTwiceWhereItMayRunOnce() {
        ledger.sent("a-1", true);
        ledger.sent("a-2", true);
        ledger.ran("a-1");
        assertEquals(0, ledger.twice());
        ledger.ran("a-2");
        ledger.ran("a-2");
        assertEquals(1, ledger.twice(), "each such request counts once");
    }

    @Test
    void repeatableRequestsMayRunAgain() {
        ledger.sent("b-1", false);
        ledger.ran("b-1");
        ledger.ran("b-1");
        assertEquals(0, ledger.twice());
    }

    @Test
    void aPromiseIsBrokenByARunBeforeItAndByOneAfterIt() {
        ledger.sent("c-1", true);
        ledger.ran("c-1");
        ledger.promisedNotRun("c-1");
        assertEquals(1, ledger.brokenPromises());
        ledger.sent("d-1", true);
        ledger.promisedNotRun("d-1");
        ledger.ran("d-1");
        assertEquals(2, ledger.brokenPromises());
        assertEquals(0, ledger.twice());
    }

    @Test
    void aRunThatNobodySentIsSeen() {
        ledger.ran("e-1");
        assertEquals(1, ledger.unasked());
    }
}
