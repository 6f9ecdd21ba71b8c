package holdmux.store.host;

import holdmux.config.ConfigException;
import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.Front;
import holdmux.core.Log;
import holdmux.core.Part;
import holdmux.core.Services;
import holdmux.core.Steering;
import holdmux.core.Upstream;
import holdmux.store.Forms;
import holdmux.store.LastHeard;
import holdmux.store.PolicyText;
import holdmux.store.PolicyVersion;
import holdmux.store.PolicyView;
import holdmux.store.PolicyView.Refuse;
import holdmux.store.PolicyView.Serve;
import holdmux.store.PolicyView.Standing;
import holdmux.store.Quorum;
import holdmux.store.SealedFile;
import holdmux.store.Validator;
import holdmux.store.raft.Members;
import holdmux.store.raft.StoreClient;
import holdmux.store.raft.StoreMember;
import holdmux.store.wire.Answer;
import holdmux.store.wire.LastGood;
import holdmux.store.wire.News;
import holdmux.store.wire.Poll;
import holdmux.store.wire.Question;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Keeps one pooler under the fleet's policy: follows the store, switches when {@link PolicyView} says so, keeps the last
 * good version on disk and closes the pooler to new requests where it must not serve. A member of the store too, where it
 * is one.
 */
public final class StorePart implements Part {
    /** The file of the last good version: what it is and its form. */
    private static final String FORM = "lastgod1";
    /** Parts of the bound: a poll is held for one at most; the last confirmation is kept as often. */
    private static final int PARTS = 10;
    /** How long a start waits for the store before it serves under its last good version, in parts of the bound. */
    private static final int START_PARTS = 5;
    private static final long MOST_HOLD_MS = 1_000, LEAST_WAIT_MS = 500, AGAIN_MS = 100, MOST_AGAIN_MS = 1_000,
            MEMBER_AGAIN_MS = 5_000, MOST_START_MS = 3_000;

    private final StoreOptions options;
    private final CountDownLatch heard = new CountDownLatch(1);
    private Steering steering;
    private Clock clock;
    private PolicyView view;
    private final Quorum quorum = new Quorum();
    /** The store's members, as the one that has applied most has them. */
    private List<String> voters = List.of();
    private long furthest;
    /** All members that this pooler was ever told of, and those that it asks. */
    private Members told;
    private final Set<String> followed = new HashSet<>();
    /** What is in force in the pooler, and since when; a version that it could not take up, and why. */
    private PolicyVersion inForce;
    private long inForceSerial, inForceNs;
    private String unfit = "";
    private LastGood kept = LastGood.getDefaultInstance();
    private final String boot = boot();
    private volatile String closed = "";
    /** Until then nothing new needs to be looked at before a request is taken. */
    private volatile long openUntilNs;

    public StorePart(StoreOptions options) {
        this.options = options;
        told = options.members();
    }

    @Override
    public Set<String> kinds() {
        return Set.of();
    }

    @Override
    public Upstream upstream(Services services) {
        return null;
    }

    @Override
    public Front front(Services services) {
        return null;
    }

    @Override
    public void begin(Steering steering) throws IOException, InterruptedException {
        this.steering = steering;
        clock = steering.services().clock();
        Files.createDirectories(options.folder());
        kept = read();
        PolicyVersion last = kept.hasVersion() ? Forms.version(kept.getVersion()) : null;
        long boundNs = options.bound().toNanos();
        view = new PolicyView(last, LastHeard.ageNs(kept, boot, System.nanoTime(), System.currentTimeMillis(), 2 * boundNs),
                boundNs, clock.now());
        openUntilNs = clock.now();
        steering.gate(this::closed);
        steering.show("policy_version", () -> asOf(s -> s.version() == null ? "0" : Long.toString(s.version().number())));
        steering.show("policy_checksum", () -> asOf(s -> s.version() == null ? "none" : s.version().shortSum()));
        steering.show("policy_age_ms", () -> asOf(s -> Long.toString(s.ageNs() / Clock.MS)));
        steering.show("policy_state", () -> asOf(s -> s instanceof Serve serve && unfit.isEmpty()
                ? serve.confirmed() ? "confirmed" : "unconfirmed" : "closed"));
        if (options.id() != null) {
            daemon("store-member", this::keepMember);
        }
        options.members().names().forEach(this::beginToFollow);
        daemon("policy-keep", this::keep);
        if (!heard.await(Math.min(MOST_START_MS, options.bound().toMillis() / START_PARTS), TimeUnit.MILLISECONDS)) {
            Log.warn("policy: the store has not answered; " + (last == null ? "closed until it does"
                    : "begins under version " + last.number() + ", kept from before"));
        }
        refresh();
    }

    private static void daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- The member of the store ----

    /** Starts the member, time and again where it cannot: the pooler serves without it, following the others. */
    private void keepMember() {
        StoreMember member = null;
        while (true) {
            try {
                if (member == null) {
                    member = new StoreMember(options.id(), options.members(), options.listen() == null
                            ? options.members().address(options.id()) : options.listen(), options.folder().resolve("log"),
                            options.first(), Validator.POLICY);
                    Log.info("store: member " + options.id() + " takes part");
                } else if (!member.failure().isEmpty()) {
                    Log.warn("store: member " + options.id() + " is started again: " + member.failure());
                    StoreMember failed = member;
                    member = null;
                    failed.close();
                }
            } catch (IOException | RuntimeException e) {
                Log.warn("store: member " + options.id() + " takes no part: " + e.getMessage());
            }
            pause(MEMBER_AGAIN_MS);
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException("nothing interrupts this thread", e);
        }
    }

    // ---- Following ----

    private synchronized void beginToFollow(String member) {
        if (followed.add(member)) {
            daemon("policy-follow", () -> follow(member));
        }
    }

    /** Asks one member what is in force, for ever; every member is asked by a thread of its own. */
    private void follow(String member) {
        long partMs = Math.min(MOST_HOLD_MS, options.bound().toMillis() / PARTS);
        long failingMs = 0;
        try (StoreClient client = new StoreClient(told(), Math.max(LEAST_WAIT_MS, partMs), partMs)) {
            while (true) {
                // what is heard is as old as the question
                long askedNs = clock.now();
                try {
                    heard(member, client.ask(Question.newBuilder().setPoll(Poll.newBuilder().setStanding(standing())
                            .setSeenSerial(seenSerial()).setHoldMs(heard.getCount() > 0 ? 0 : (int) partMs)).build(),
                            member), askedNs);
                    failingMs = 0;
                    if (heard.getCount() > 0) {
                        pause(AGAIN_MS); // not held, and nobody else has confirmed it yet
                    }
                } catch (IOException | RuntimeException e) {
                    steering.services().counters().count(Counter.POLICY_POLLS_FAILED);
                    if (failingMs == 0) {
                        Log.warn("policy: member " + member + " does not answer: " + e.getMessage());
                    }
                    // one that was taken out of the store may be down for good
                    failingMs = Math.min(MOST_AGAIN_MS, Math.max(AGAIN_MS, 2 * failingMs));
                    pause(failingMs);
                }
            }
        }
    }

    private synchronized Members told() {
        return told;
    }

    private synchronized long seenSerial() {
        return view.seenSerial();
    }

    private synchronized void heard(String member, Answer answer, long askedNs) throws IOException {
        if (!answer.hasNews()) {
            throw new IOException(answer.getProblem());
        }
        News news = answer.getNews();
        if (!view.learned(news.hasActive() ? Forms.activation(news.getActive()) : null,
                news.hasVersion() ? Forms.version(news.getVersion()) : null, clock.now())) {
            throw new IOException("it told a version that is torn");
        }
        if (answer.getSettled()) {
            quorum.answered(member, askedNs);
        }
        if (answer.getApplied() >= furthest) {
            furthest = answer.getApplied();
            voters = StoreClient.names(answer);
            told = told.with(answer.getMembersList());
            voters.forEach(this::beginToFollow);
        }
        if (quorum.isMajority(voters)) {
            view.confirmed(quorum.confirmedNs(voters));
            heard.countDown();
        }
        refresh();
        notifyAll();
    }

    private synchronized holdmux.store.wire.Standing standing() {
        Standing now = view.at(clock.now());
        return holdmux.store.wire.Standing.newBuilder().setPooler(steering.services().config().name())
                .setNumber(inForce == null ? 0 : inForce.number()).setSerial(inForceSerial)
                .setSinceMs(inForce == null ? 0 : (clock.now() - inForceNs) / Clock.MS).setClosed(reason(now)).build();
    }

    // ---- Switching ----

    /** Null, or why no new request is taken; looks at the view only where that may have changed. */
    private String closed() {
        if (clock.now() - openUntilNs >= 0) {
            refresh();
        }
        String now = closed;
        return now.isEmpty() ? null : now;
    }

    /** Brings the pooler in line with the view: the one place where a version is put in force. */
    private synchronized void refresh() {
        long now = clock.now();
        Standing standing = view.at(now);
        PolicyVersion next = standing.version();
        long serial = standing instanceof Serve serve ? serve.serial() : inForceSerial;
        if (next != null && (inForce == null || next.number() != inForce.number() || serial != inForceSerial)) {
            take(next, serial, now);
        }
        String was = closed;
        closed = reason(standing);
        openUntilNs = view.holdsUntil(now);
        if (closed.isEmpty() != was.isEmpty()) {
            Log.warn(closed.isEmpty() ? "policy: new requests are taken again" : "policy: closed to new requests: " + closed);
        }
    }

    private String reason(Standing standing) {
        return standing instanceof Refuse refuse ? refuse.reason() : unfit;
    }

    private void take(PolicyVersion version, long serial, long now) {
        try {
            PolicyText text = PolicyText.read(version.text());
            steering.putInForce(steering.services().config().under(text.settings()), text.discovery(), text.excluded(),
                    text.evacuated().contains(steering.services().config().name()));
            unfit = "";
            steering.services().counters().count(Counter.POLICY_SWITCHES);
            Log.info("policy: version " + version.number() + " " + version.shortSum() + " is in force, activation "
                    + serial);
        } catch (ConfigException e) {
            unfit = "version " + version.number() + " cannot be served here: " + e.getMessage();
            steering.services().counters().count(Counter.POLICY_UNFIT);
        }
        inForce = version;
        inForceSerial = serial;
        inForceNs = now;
    }

    private synchronized String asOf(Function<Standing, String> of) {
        return of.apply(view.at(clock.now()));
    }

    // ---- The last good version ----

    /** Switches when a delay has passed, and keeps the newest version and when it was last confirmed. */
    private void keep() {
        long partNs = options.bound().toNanos() / PARTS;
        while (true) {
            LastGood next;
            synchronized (this) {
                refresh();
                next = keepNext(partNs);
            }
            if (next != null) {
                write(next);
            }
            synchronized (this) {
                try {
                    long untilMs = (view.holdsUntil(clock.now()) - clock.now()) / Clock.MS;
                    wait(Math.max(1, Math.min(partNs / Clock.MS, untilMs <= 0 ? partNs / Clock.MS : untilMs)));
                } catch (InterruptedException e) {
                    throw new IllegalStateException("nothing interrupts this thread", e);
                }
            }
        }
    }

    /** What to write, null where what is kept still tells it to within a part of the bound. */
    private LastGood keepNext(long partNs) {
        Standing standing = view.at(clock.now());
        PolicyVersion newest = view.newest();
        if (newest == null || !unfit.isEmpty() || standing instanceof Serve serve && !serve.confirmed()) {
            return null;
        }
        long heardNs = System.nanoTime() - standing.ageNs();
        boolean same = kept.hasVersion() && kept.getVersion().getNumber() == newest.number();
        return same && heardNs - kept.getHeardNs() < partNs ? null
                : LastGood.newBuilder().setVersion(Forms.of(newest)).setBoot(boot).setHeardNs(heardNs)
                        .setHeardUnixMs(System.currentTimeMillis() - standing.ageNs() / Clock.MS).build();
    }

    /** Names the machine's boot where the system tells it. */
    private static String boot() {
        try {
            return Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
        } catch (IOException e) {
            return "";
        }
    }

    private Path file() {
        return options.folder().resolve("last-good");
    }

    private void write(LastGood next) {
        try {
            SealedFile.write(file(), FORM, next.toByteArray());
            kept = next;
        } catch (IOException e) {
            Log.warn("policy: the version in force cannot be kept for the next start: " + e.getMessage());
        }
    }

    private LastGood read() {
        try {
            return LastGood.parseFrom(SealedFile.read(file(), FORM));
        } catch (NoSuchFileException e) {
            return LastGood.getDefaultInstance();
        } catch (IOException e) {
            Log.warn("policy: nothing is known from before this start: " + e.getMessage());
            return LastGood.getDefaultInstance();
        }
    }
}
