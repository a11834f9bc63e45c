package tinworks.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinworks.channel.HostList.Host;
import tinworks.json.Address;
import tinworks.json.Json;

/**
 * Puts one reading of the platform's list together from its pages. An entry that can't be read is left out and counted,
 * and keeps none of the others out; a list of which nothing can be read is none. Where pages overlap, as the list
 * changed while it was read, the later entry of an id counts.
 */
final class HostListReader {
    /** Far under what a text between our processes may take, in any script. */
    static final int LONGEST_NAME = 1_000;
    /** A list that never ends, or more hosts than a machine's memory holds, is no list. */
    private static final int MOST_PAGES = 1_000;

    private static final long HEAP_BYTES_PER_HOST = 600;

    private final long mostHosts;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private int pages;
    private int leftOut;
    private String why = "";

    /** Nothing is read yet. */
    HostListReader() {
        this(Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_HOST);
    }

    /** One that takes no more than so many hosts. */
    HostListReader(long mostHosts) {
        this.mostHosts = mostHosts;
    }

    /**
     * Takes in one page and returns the cursor of the next, empty where there is none. A page that is none, or one too
     * many, is an {@link IllegalArgumentException}.
     */
    String page(Json page) {
        if (!page.field("hosts").isArray()) {
            throw new IllegalArgumentException("no hosts in it");
        }
        for (Json entry : page.field("hosts").entries()) {
            take(entry);
        }
        if (hosts.size() > mostHosts) {
            throw new IllegalArgumentException("more than " + mostHosts + " hosts, which is all that fits");
        }
        String next = page.field("nextCursor").text();
        if (!next.isEmpty() && ++pages >= MOST_PAGES) {
            throw new IllegalArgumentException("more than " + MOST_PAGES + " pages");
        }
        return next;
    }

    /** The hosts of all pages, by their ids; an {@link IllegalArgumentException} where none of some could be read. */
    List<Host> hosts() {
        if (hosts.isEmpty() && leftOut > 0) {
            throw new IllegalArgumentException("none of " + leftOut + " entries: " + why);
        }
        List<Host> sorted = new ArrayList<>(hosts.values());
        sorted.sort(Comparator.comparing(Host::id));
        return sorted;
    }

    /** How many entries can't be read. */
    int leftOut() {
        return leftOut;
    }

    /** What is wrong with the last of them. */
    String why() {
        return why;
    }

    private void take(Json entry) {
        try {
            Host host = host(entry);
            // The later entry goes to the later place: nothing depends on the place of an id.
            hosts.put(host.id(), host);
        } catch (IllegalArgumentException e) {
            leftOut++;
            why = e.getMessage();
        }
    }

    private static Host host(Json entry) {
        String address = name(entry.required("addr"), "addr");
        Address.parse(address);
        return new Host(
                name(entry.required("id"), "id"),
                name(entry.required("svc"), "svc"),
                address,
                name(entry.field("az"), "az"),
                Math.max(1, entry.field("slots").number(1).intValue()),
                !entry.field("status").text().equals("ready"),
                entry.field("warmupMs").number(0).longValue());
    }

    private static String name(Json field, String what) {
        String text = field.text();
        if (text.length() > LONGEST_NAME) {
            throw new IllegalArgumentException(what + ": a text of " + text.length() + " characters");
        }
        return text;
    }
}
