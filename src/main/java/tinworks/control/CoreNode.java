package tinworks.control;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.channel.Conversation;
import tinworks.channel.HostHistory;
import tinworks.channel.HostList;
import tinworks.channel.HostListVersion;
import tinworks.channel.Links;
import tinworks.channel.Signal;
import tinworks.channel.Signal.Announce;
import tinworks.channel.Signal.Call;
import tinworks.channel.Signal.CallAnswer;
import tinworks.channel.Signal.Hello;
import tinworks.channel.Signal.Hosts;
import tinworks.channel.Signal.HostsChanged;
import tinworks.channel.Signal.Join;
import tinworks.channel.Signal.Part;
import tinworks.channel.Signal.PullConfiguration;
import tinworks.channel.Signal.PullHosts;
import tinworks.channel.SteadyClock;
import tinworks.net.GatewayClock;
import tinworks.node.BootSettings;
import tinworks.platform.HostPoller;
import tinworks.raft.Member;
import tinworks.raft.Message;
import tinworks.raft.Progress;
import tinworks.raft.Raft;
import tinworks.raft.Stored;
import tinworks.raft.Timing;
import tinworks.store.CoreStore;

/**
 * A core machine at work: its part in the agreement, its links to the others, and what it tells the edges. The leader
 * alone fetches the platform's list; the others pull it from there and pass it on. All on one event loop.
 */
public final class CoreNode implements Conversation.Listener, Agreement.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(CoreNode.class);
    /** Heartbeats are cheap; an election outlasts a slow disk's syncs and a process's first, uncompiled work. */
    private static final Timing TIMING = new Timing(120, 500);
    private static final long TICK_MILLIS = 50, ANNOUNCE_MILLIS = 1_000, JOIN_MILLIS = 500, LEARNER_MILLIS = 3_000,
            PULL_AGAIN_MILLIS = 400, PLAN_MILLIS = 250, LOST_MILLIS = 3_000;

    private final EventLoop loop;
    private final BootSettings settings;
    private final long id;
    private final Agreement agreement;
    private final Raft raft;
    private final Links links;
    private final VoterPlan plan;
    private final HostPoller poller;
    private final OperatorServer operator;
    private final Set<Conversation> conversations = new LinkedHashSet<>();
    private final Map<Long, Long> joins = new HashMap<>();
    private final Set<String> announced = new HashSet<>();
    private BootSettings current;
    private final HostHistory hosts = new HostHistory();
    private final ConfigurationFeed configurations = new ConfigurationFeed();
    private long announcedRev = -1;
    private long announceAt;
    private long joinAt;
    private long planAt;
    private long pulledAt;
    private long touchedAt;

    /** A machine with what its disk holds. */
    public CoreNode(EventLoop loop, BootSettings settings, CoreStore store, long id, Stored stored) {
        this.loop = loop;
        this.settings = settings;
        this.id = id;
        current = settings;
        GatewayClock clock = new GatewayClock();
        long now = SteadyClock.millis();
        raft = new Raft(id, stored, TIMING, id ^ now, now);
        touchedAt = now;
        links = new Links(loop, new Hello(Part.CORE, id, settings.innerAddress(), settings.node(), settings.zone()), this);
        plan = new VoterPlan(settings.losses());
        poller = new HostPoller(loop, clock, settings.provider(), id, this::listed, this::log);
        agreement = new Agreement(loop, raft, store, this);
        operator = new OperatorServer(loop, clock, settings, this);
    }

    /** Starts to listen and to dial; on the event loop. */
    public List<ChannelFuture> start() {
        List<ChannelFuture> bound = List.of(links.listen(settings.inner()), operator.listen(settings.ctl()));
        LOG.info("core {} of id {} starts: term {}, {} entries, voters {}", settings.node(), Long.toHexString(id),
                raft.term(), raft.lastIndex(), raft.members().size());
        tick();
        return bound;
    }

    /** Follows changed settings; on the event loop. */
    public void changed(BootSettings changed) {
        current = changed;
        poller.moveTo(changed.provider());
    }

    /** Hands the lead over and no longer fetches the list; on the event loop. */
    public void retire() {
        raft.handOver();
        agreement.pump();
        poller.turn(false);
    }

    /** Ends; on the event loop. */
    public void close() {
        operator.close();
        links.close();
        conversations.forEach(c -> c.close("this machine ends"));
        agreement.close();
    }

    /** Waits until the disk is at rest; not on the event loop. */
    public boolean awaitClosed(long millis) throws InterruptedException {
        return agreement.awaitClosed(millis);
    }

    Agreement agreement() {
        return agreement;
    }

    HostList hosts() {
        return hosts.newest();
    }

    BootSettings settings() {
        return settings;
    }

    /** How many edges are linked here. */
    int edges() {
        int edges = 0;
        for (Conversation c : conversations) {
            edges += c.isOpen() && c.peer().part() == Part.EDGE ? 1 : 0;
        }
        return edges;
    }

    /** An open conversation with the leader, or null where none is known or this machine leads. */
    Conversation leader() {
        return raft.leader() == 0 || raft.leader() == id ? null : conversation(raft.leader());
    }

    private Conversation conversation(long peer) {
        for (Conversation c : conversations) {
            if (c.peer().id() == peer && c.isOpen()) {
                return c;
            }
        }
        return null;
    }

    // ---- time

    private void tick() {
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        long now = SteadyClock.millis();
        agreement.tick();
        operator.tick();
        if (raft.inTouch()) {
            touchedAt = now;
        }
        poller.turn(raft.ready());
        if (!raft.isVoter(id) && now >= joinAt) {
            joinAt = now + JOIN_MILLIS;
            Signal join = new Join(new Member(id, settings.innerAddress()));
            links.open().forEach(c -> c.send(join));
        }
        if (now >= planAt) {
            planAt = now + PLAN_MILLIS;
            planVoters(now);
            links.want(wantedCores(now));
        }
        if (now >= announceAt) {
            announce();
        }
    }

    /** The core machines that this one should be linked with. */
    private Set<String> wantedCores(long now) {
        Set<String> wanted = new TreeSet<>(announced);
        raft.members().forEach(m -> wanted.add(m.address()));
        raft.followers().forEach(p -> wanted.add(p.member().address()));
        if (wanted.size() <= 1 || now - touchedAt > LOST_MILLIS) {
            wanted.addAll(current.seeds());
        }
        wanted.remove(settings.innerAddress());
        return wanted;
    }

    private void planVoters(long now) {
        if (raft.role() != Raft.Role.LEADER) {
            joins.clear();
            return;
        }
        List<VoterPlan.Seen> seen = new ArrayList<>();
        for (Progress p : raft.followers()) {
            boolean learner = !raft.isVoter(p.member().id());
            if (learner && now - joins.getOrDefault(p.member().id(), 0L) > LEARNER_MILLIS) {
                raft.removeLearner(p.member().id());
                continue;
            }
            seen.add(new VoterPlan.Seen(p.member(), p.match() >= raft.commit() && p.match() > 0, now - p.heardAt()));
        }
        if (raft.mayChangeMembers()) {
            List<Member> before = raft.members();
            plan.next(id, before, seen).ifPresent(next -> {
                if (raft.changeMembers(next)) {
                    LOG.info("voters change from {} to {}", before, next);
                }
            });
        }
        agreement.pump();
    }

    // ---- what it tells

    @Override
    public void changed() {
        if (agreement != null) {
            poller.turn(raft.ready());
            if (announcedRev != agreement.history().rev()) {
                // First the news, so that the bytes are made while it travels.
                announce();
                configurations.follow(agreement.history());
            }
        }
    }

    private void listed(List<HostList.Host> list) {
        if (raft.role() != Raft.Role.LEADER) {
            return;
        }
        HostListVersion old = hosts().version();
        if (old.term() != raft.term() || !hosts().sameAs(list)) {
            hosts.advance(new HostList(new HostListVersion(raft.term(), old.term() == raft.term() ? old.count() + 1 : 1), list));
            announce();
        }
    }

    /** Tells those who dialled what there is: at once when it is new, else once a second. */
    private void announce() {
        announceAt = SteadyClock.millis() + ANNOUNCE_MILLIS;
        announcedRev = agreement.history().rev();
        Announce said = said();
        conversations.stream().filter(c -> !c.dialled()).toList().forEach(c -> c.send(said));
    }

    private Announce said() {
        boolean leads = raft.ready();
        Set<String> cores = new TreeSet<>(announced);
        if (leads) {
            cores.clear();
            raft.followers().forEach(p -> cores.add(p.member().address()));
        }
        raft.members().forEach(m -> cores.add(m.address()));
        cores.add(settings.innerAddress());
        return new Announce(agreement.history().rev(), hosts().version(), raft.inTouch(), leads, List.copyOf(cores), edges());
    }

    // ---- what it hears

    @Override
    public void opened(Conversation conversation) {
        conversations.add(conversation);
        if (!conversation.dialled()) {
            conversation.send(said());
        }
    }

    @Override
    public void closed(Conversation conversation) {
        conversations.remove(conversation);
    }

    @Override
    public void received(Conversation from, Signal signal) {
        if (signal instanceof Signal.Agreement s) {
            if (s.to() == id) {
                agreement.receive(s.from(), s.message());
            }
        } else if (signal instanceof Join s) {
            if (raft.role() == Raft.Role.LEADER) {
                joins.put(s.member().id(), SteadyClock.millis());
                raft.addLearner(s.member());
                agreement.pump();
            }
        } else if (signal instanceof PullConfiguration s) {
            configurations.follow(agreement.history());
            Signal newer = configurations.since(s.held());
            if (newer != null) {
                from.send(newer);
            }
        } else if (signal instanceof PullHosts s) {
            from.send(hosts.since(s.held()));
        } else if (signal instanceof Announce s) {
            heard(from, s);
        } else if (signal instanceof Hosts s) {
            took(s.list());
        } else if (signal instanceof HostsChanged s) {
            if (s.change().base().is(hosts().version())) {
                took(s.change().appliedTo(hosts()));
            }
        } else if (signal instanceof Call s) {
            operator.called(s, answer -> from.send(answer));
        } else if (signal instanceof CallAnswer s) {
            operator.answered(s);
        }
    }

    private void took(HostList list) {
        pulledAt = 0;
        if (list.version().compareTo(hosts().version()) > 0) {
            hosts.advance(list);
            announce();
        }
    }

    private void heard(Conversation from, Announce s) {
        if (s.leads() && raft.role() != Raft.Role.LEADER) {
            announced.clear();
            announced.addAll(s.cores());
        }
        long now = SteadyClock.millis();
        if (s.hosts().compareTo(hosts().version()) > 0 && now - pulledAt > PULL_AGAIN_MILLIS) {
            pulledAt = now;
            from.send(new PullHosts(hosts().version()));
        }
    }

    @Override
    public void send(long to, Message message) {
        Conversation conversation = conversation(to);
        if (conversation != null) {
            conversation.send(new Signal.Agreement(id, to, message));
        }
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
