package holdmux.store.host;

import holdmux.config.ConfigException;
import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.Front;
import holdmux.core.Log;
import holdmux.core.Extension;
import holdmux.core.Services;
import holdmux.core.PolicyControl;
import holdmux.core.Upstream;
import holdmux.store.ProtoMapper;
import holdmux.store.ConfirmationAge;
import holdmux.store.PolicyText;
import holdmux.store.PolicyVersion;
import holdmux.store.PolicyView;
import holdmux.store.PolicyView.Refuse;
import holdmux.store.PolicyView.Serve;
import holdmux.store.PolicyView.State;
import holdmux.store.Quorum;
import holdmux.store.ChecksummedFile;
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
public final class StoreExtension implements Extension {
    /** The file of the last good version: what it is and its form. */
    private static final String FILE_MAGIC = "lastgod1";
    /** Parts of the bound: a poll is held for one at most; the last confirmation is kept as often. */
    private static final int POLLS_PER_BOUND = 10;
    /** How long a start waits for the store before it serves under its last good version, in parts of the bound. */
    private static final int START_WAIT_DIVISOR = 5;
    private static final long MAX_POLL_HOLD_MS = 1_000, MIN_CALL_TIMEOUT_MS = 500, MIN_RETRY_MS = 100, MAX_RETRY_MS = 1_000,
            MEMBER_RETRY_MS = 5_000, MAX_START_WAIT_MS = 3_000;

    private final StoreOptions options;
    private final CountDownLatch heard = new CountDownLatch(1);
    private PolicyControl control;
    private Clock clock;
    private PolicyView view;
    private final Quorum quorum = new Quorum();
    /** The store's members, as the one that has applied most has them. */
    private List<String> voters = List.of();
    private long highestApplied;
    /** All members that this pooler was ever told of, and those that it asks. */
    private Members knownMembers;
    private final Set<String> followed = new HashSet<>();
    /** What is in force in the pooler, and since when; a version that it could not take up, and why. */
    private PolicyVersion inForce;
    private long inForceSerial, inForceNs;
    private String unusableReason = "";
    private LastGood lastGood = LastGood.getDefaultInstance();
    private final String bootId = bootId();
    private volatile String closedReason = "";
    /** Until then nothing new needs to be looked at before a request is taken. */
    private volatile long stateValidUntilNs;

    public StoreExtension(StoreOptions options) {
        this.options = options;
        knownMembers = options.members();
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
    public void start(PolicyControl control) throws IOException, InterruptedException {
        this.control = control;
        clock = control.services().clock();
        Files.createDirectories(options.directory());
        lastGood = load();
        PolicyVersion lastVersion = lastGood.hasVersion() ? ProtoMapper.toVersion(lastGood.getVersion()) : null;
        long stalenessBoundNs = options.stalenessBound().toNanos();
        view = new PolicyView(lastVersion, ConfirmationAge.ageNs(lastGood, bootId, System.nanoTime(), System.currentTimeMillis(), 2 * stalenessBoundNs),
                stalenessBoundNs, clock.now());
        stateValidUntilNs = clock.now();
        control.setAdmissionGate(this::closedReason);
        control.addStat("policy_version", () -> readState(state -> state.version() == null ? "0" : Long.toString(state.version().number())));
        control.addStat("policy_checksum", () -> readState(state -> state.version() == null ? "none" : state.version().shortChecksum()));
        control.addStat("policy_age_ms", () -> readState(state -> Long.toString(state.ageNs() / Clock.MS)));
        control.addStat("policy_state", () -> readState(state -> state instanceof Serve serving && unusableReason.isEmpty()
                ? serving.confirmed() ? "confirmed" : "unconfirmed" : "closed"));
        if (options.memberId() != null) {
            startDaemon("store-member", this::runMember);
        }
        options.members().names().forEach(this::startFollowing);
        startDaemon("policy-keep", this::runPersistence);
        if (!heard.await(Math.min(MAX_START_WAIT_MS, options.stalenessBound().toMillis() / START_WAIT_DIVISOR), TimeUnit.MILLISECONDS)) {
            Log.warn("policy: the store has not answered; " + (lastVersion == null ? "closed until it does"
                    : "begins under version " + lastVersion.number() + ", kept from before"));
        }
        refresh();
    }

    private static void startDaemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- The member of the store ----

    /** Starts the member, time and again where it cannot: the pooler serves without it, following the others. */
    private void runMember() {
        StoreMember member = null;
        while (true) {
            try {
                if (member == null) {
                    member = new StoreMember(options.memberId(), options.members(), options.listenAddress() == null
                            ? options.members().address(options.memberId()) : options.listenAddress(), options.directory().resolve("log"),
                            options.bootstrap(), Validator.POLICY);
                    Log.info("store: member " + options.memberId() + " takes part");
                } else if (!member.failure().isEmpty()) {
                    Log.warn("store: member " + options.memberId() + " is started again: " + member.failure());
                    StoreMember failed = member;
                    member = null;
                    failed.close();
                }
            } catch (IOException | RuntimeException e) {
                Log.warn("store: member " + options.memberId() + " takes no part: " + e.getMessage());
            }
            pause(MEMBER_RETRY_MS);
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

    private synchronized void startFollowing(String member) {
        if (followed.add(member)) {
            startDaemon("policy-follow", () -> follow(member));
        }
    }

    /** Asks one member what is in force, for ever; every member is asked by a thread of its own. */
    private void follow(String member) {
        long holdMs = Math.min(MAX_POLL_HOLD_MS, options.stalenessBound().toMillis() / POLLS_PER_BOUND);
        long retryMs = 0;
        try (StoreClient client = new StoreClient(knownMembers(), Math.max(MIN_CALL_TIMEOUT_MS, holdMs), holdMs)) {
            while (true) {
                // what is heard is as old as the question
                long askedNs = clock.now();
                try {
                    heard(member, client.ask(Question.newBuilder().setPoll(Poll.newBuilder().setStanding(currentStanding())
                            .setSeenSerial(seenSerial()).setHoldMs(heard.getCount() > 0 ? 0 : (int) holdMs)).build(),
                            member), askedNs);
                    retryMs = 0;
                    if (heard.getCount() > 0) {
                        pause(MIN_RETRY_MS); // not held, and nobody else has confirmed it yet
                    }
                } catch (IOException | RuntimeException e) {
                    control.services().counters().count(Counter.POLICY_POLLS_FAILED);
                    if (retryMs == 0) {
                        Log.warn("policy: member " + member + " does not answer: " + e.getMessage());
                    }
                    // one that was taken out of the store may be down for good
                    retryMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, 2 * retryMs));
                    pause(retryMs);
                }
            }
        }
    }

    private synchronized Members knownMembers() {
        return knownMembers;
    }

    private synchronized long seenSerial() {
        return view.seenSerial();
    }

    private synchronized void heard(String member, Answer answer, long askedNs) throws IOException {
        if (!answer.hasNews()) {
            throw new IOException(answer.getProblem());
        }
        News news = answer.getNews();
        if (!view.update(news.hasActive() ? ProtoMapper.toActivation(news.getActive()) : null,
                news.hasVersion() ? ProtoMapper.toVersion(news.getVersion()) : null, clock.now())) {
            throw new IOException("it told a version that is torn");
        }
        if (answer.getSettled()) {
            quorum.answered(member, askedNs);
        }
        if (answer.getApplied() >= highestApplied) {
            highestApplied = answer.getApplied();
            voters = StoreClient.memberNames(answer);
            knownMembers = knownMembers.plus(answer.getMembersList());
            voters.forEach(this::startFollowing);
        }
        if (quorum.isMajority(voters)) {
            view.confirm(quorum.confirmedNs(voters));
            heard.countDown();
        }
        refresh();
        notifyAll();
    }

    private synchronized holdmux.store.wire.Standing currentStanding() {
        State state = view.stateAt(clock.now());
        return holdmux.store.wire.Standing.newBuilder().setPooler(control.services().config().name())
                .setNumber(inForce == null ? 0 : inForce.number()).setSerial(inForceSerial)
                .setSinceMs(inForce == null ? 0 : (clock.now() - inForceNs) / Clock.MS).setClosed(refusalReason(state)).build();
    }

    // ---- Switching ----

    /** Null, or why no new request is taken; looks at the view only where that may have changed. */
    private String closedReason() {
        if (clock.now() - stateValidUntilNs >= 0) {
            refresh();
        }
        String reason = closedReason;
        return reason.isEmpty() ? null : reason;
    }

    /** Brings the pooler in line with the view: the one place where a version is put in force. */
    private synchronized void refresh() {
        long now = clock.now();
        State state = view.stateAt(now);
        PolicyVersion next = state.version();
        long serial = state instanceof Serve serving ? serving.serial() : inForceSerial;
        if (next != null && (inForce == null || next.number() != inForce.number() || serial != inForceSerial)) {
            switchTo(next, serial, now);
        }
        String previousReason = closedReason;
        closedReason = refusalReason(state);
        stateValidUntilNs = view.validUntil(now);
        if (closedReason.isEmpty() != previousReason.isEmpty()) {
            Log.warn(closedReason.isEmpty() ? "policy: new requests are taken again" : "policy: closed to new requests: " + closedReason);
        }
    }

    private String refusalReason(State state) {
        return state instanceof Refuse refusing ? refusing.reason() : unusableReason;
    }

    private void switchTo(PolicyVersion version, long serial, long now) {
        try {
            PolicyText policy = PolicyText.read(version.text());
            control.applyPolicy(control.services().config().deploymentUnder(policy.settings()), policy.discovery(), policy.excluded(),
                    policy.evacuated().contains(control.services().config().name()));
            unusableReason = "";
            control.services().counters().count(Counter.POLICY_SWITCHES);
            Log.info("policy: version " + version.number() + " " + version.shortChecksum() + " is in force, activation "
                    + serial);
        } catch (ConfigException e) {
            unusableReason = "version " + version.number() + " cannot be served here: " + e.getMessage();
            control.services().counters().count(Counter.POLICY_UNFIT);
        }
        inForce = version;
        inForceSerial = serial;
        inForceNs = now;
    }

    private synchronized String readState(Function<State, String> reader) {
        return reader.apply(view.stateAt(clock.now()));
    }

    // ---- The last good version ----

    /** Switches when a delay has passed, and keeps the newest version and when it was last confirmed. */
    private void runPersistence() {
        long intervalNs = options.stalenessBound().toNanos() / POLLS_PER_BOUND;
        while (true) {
            LastGood next;
            synchronized (this) {
                refresh();
                next = nextToPersist(intervalNs);
            }
            if (next != null) {
                persist(next);
            }
            synchronized (this) {
                try {
                    long untilMs = (view.validUntil(clock.now()) - clock.now()) / Clock.MS;
                    wait(Math.max(1, Math.min(intervalNs / Clock.MS, untilMs <= 0 ? intervalNs / Clock.MS : untilMs)));
                } catch (InterruptedException e) {
                    throw new IllegalStateException("nothing interrupts this thread", e);
                }
            }
        }
    }

    /** What to write, null where what is kept still tells it to within a part of the bound. */
    private LastGood nextToPersist(long intervalNs) {
        State state = view.stateAt(clock.now());
        PolicyVersion newest = view.newestVersion();
        if (newest == null || !unusableReason.isEmpty() || state instanceof Serve serving && !serving.confirmed()) {
            return null;
        }
        long confirmedNs = System.nanoTime() - state.ageNs();
        boolean sameVersion = lastGood.hasVersion() && lastGood.getVersion().getNumber() == newest.number();
        return sameVersion && confirmedNs - lastGood.getHeardNs() < intervalNs ? null
                : LastGood.newBuilder().setVersion(ProtoMapper.toProto(newest)).setBoot(bootId).setHeardNs(confirmedNs)
                        .setHeardUnixMs(System.currentTimeMillis() - state.ageNs() / Clock.MS).build();
    }

    /** Names the machine's boot where the system tells it. */
    private static String bootId() {
        try {
            return Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
        } catch (IOException e) {
            return "";
        }
    }

    private Path lastGoodFile() {
        return options.directory().resolve("last-good");
    }

    private void persist(LastGood next) {
        try {
            ChecksummedFile.write(lastGoodFile(), FILE_MAGIC, next.toByteArray());
            lastGood = next;
        } catch (IOException e) {
            Log.warn("policy: the version in force cannot be kept for the next start: " + e.getMessage());
        }
    }

    private LastGood load() {
        try {
            return LastGood.parseFrom(ChecksummedFile.read(lastGoodFile(), FILE_MAGIC));
        } catch (NoSuchFileException e) {
            return LastGood.getDefaultInstance();
        } catch (IOException e) {
            Log.warn("policy: nothing is known from before this start: " + e.getMessage());
            return LastGood.getDefaultInstance();
        }
    }
}
