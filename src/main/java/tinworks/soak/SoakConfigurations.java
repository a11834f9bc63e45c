package tinworks.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * The configurations that operators send: three services, a route for each kind of request, and routes that show which
 * version an edge follows.
 */
final class SoakConfigurations {
    static final String DOMAIN = "soak.example";
    static final List<String> SERVICES = List.of("lookup", "book", "archive");
    /** Routes that show a version stay for so many versions after it. */
    static final int MARKS_KEPT = 6;

    /** Further routes of a large order, and of one that nearly fills the longest body. */
    static final int LARGE = 6_000;

    /** About as many as may be taken at the deployment's heap. */
    static final int LARGEST = 20_000;

    static final int HUGE = 85_000;
    private static final String IDEM = "idem";

    private SoakConfigurations() {}

    /** The prefix of the route that shows a version. */
    static String mark(long rev) {
        return "/v" + rev + "/";
    }

    /** A version whose edges are shown by these marks; everything else is drawn. */
    static String of(long rev, List<Long> marks, int more, SplittableRandom random, Books books) {
        StringBuilder routes = new StringBuilder();
        route(routes, "/lookup/", IDEM, 1_000 + random.nextInt(1_000), 1 + random.nextInt(3), "lookup", null);
        route(routes, "/book/", "mutating", 1_500 + random.nextInt(1_000), 1 + random.nextInt(3), "book", null);
        boolean split = random.nextBoolean();
        String archive = random.nextBoolean() ? "archive" : "lookup";
        route(routes, "/archive/", IDEM, 2_500, 2, split ? "archive" : archive, split ? "lookup" : null);
        marks.forEach(mark -> route(routes, mark(mark), IDEM, 1_500, 2, "lookup", null));
        for (int i = 0; i < more; i++) {
            if (more == HUGE) {
                shortest(routes, rev, i);
            } else {
                route(routes, "/large" + i + "-" + rev % 7 + "/", IDEM, 1_500, 1, "lookup", null);
            }
        }
        books.allows("/lookup/", "lookup");
        books.allows("/book/", "book");
        books.allows("/archive/", "archive");
        books.allows("/archive/", "lookup");
        marks.forEach(mark -> books.allows(mark(mark), "lookup"));
        String services = SERVICES.stream()
                .map(service -> "{\"name\":\"" + service + "\",\"check\":\"/healthz\",\"maxconn\":200}")
                .collect(Collectors.joining(","));
        return "{\"rev\":" + rev + ",\"routes\":[" + routes + "],\"svcs\":[" + services
                + "],\"limits\":{\"hdrBytes\":16384,\"bodyMaxBytes\":8388608,\"hdrMs\":3000,\"idleMs\":15000}}";
    }

    private static void route(
            StringBuilder routes, String prefix, String type, long timeout, int tries, String service, String other) {
        String to = other == null
                ? "\"svc\":\"" + service + "\""
                : "\"split\":[{\"svc\":\"" + service + "\",\"weight\":70},{\"svc\":\"" + other + "\",\"weight\":30}]";
        routes.append(routes.isEmpty() ? "" : ",")
                .append("{\"name\":\"r")
                .append(prefix.replace('/', '-'))
                .append("\",\"domain\":\"" + DOMAIN + "\",\"prefix\":\"")
                .append(prefix)
                .append("\",\"type\":\"")
                .append(type)
                .append("\",\"timeoutMs\":")
                .append(timeout)
                .append(",\"targetMs\":400,\"prio\":1,")
                .append(to)
                .append(",\"tries\":")
                .append(tries)
                .append('}');
    }

    private static void shortest(StringBuilder routes, long rev, int number) {
        routes.append(",{\"name\":\"r\",\"domain\":\"d\",\"prefix\":\"/")
                .append(rev % 7)
                .append(Integer.toString(number, 36))
                .append("/\",\"type\":\"idem\",\"timeoutMs\":9,\"svc\":\"lookup\"}");
    }

    /** What must not be taken: the version again cut short, with a service that is none, or twice the same route. */
    static String invalid(String valid, SplittableRandom random) {
        return switch (random.nextInt(4)) {
            case 0 -> valid.substring(0, valid.length() / 2);
            case 1 -> valid.replaceFirst("\"svc\":\"lookup\"", "\"svc\":\"none\"");
            case 2 -> valid.replaceFirst("\"prefix\":\"/book/\"", "\"prefix\":\"/lookup/\"");
            default -> valid.replaceFirst("\"timeoutMs\":[0-9]+", "\"timeoutMs\":0");
        };
    }
}
