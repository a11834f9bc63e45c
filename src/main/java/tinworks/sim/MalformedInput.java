package tinworks.sim;

/** Input that breaks the form of the simulator's messages; the text names the line and what is wrong with it. */
public final class MalformedInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInput(long line, String what) {
        super("line " + line + ": " + what);
    }
}
