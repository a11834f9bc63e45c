package tinworks.soak;

/**
 * A promise that was broken.
 *
 * @param rule its name, as the users' pages have it
 * @param atMillis when that was noticed, counted from the start of the day
 * @param what what was seen
 */
public record Breach(String rule, long atMillis, String what) {
    @Override
    public String toString() {
        return rule + " at " + atMillis + " ms: " + what;
    }
}
