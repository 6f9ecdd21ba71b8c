package holdmux.store.host;

import holdmux.config.ConfigException;
import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.Extension;
import holdmux.core.Front;
import holdmux.core.Log;
import holdmux.core.PolicyControl;
import holdmux.core.Services;
import holdmux.core.Upstream;
import holdmux.store.ChecksummedFile;
import holdmux.store.ConfirmationAge;
import holdmux.store.PolicyText;
import holdmux.store.PolicyVersion;
import holdmux.store.PolicyView;
import holdmux.store.PolicyView.Refusing;
import holdmux.store.PolicyView.Serving;
import holdmux.store.PolicyView.State;
import holdmux.store.ProtoMapper;
import holdmux.store.Quorum;
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
 * Applies the fleet's policy to one pooler: polls the store, switches versions as {@link PolicyView} decides, stores the
 * last good version on disk and refuses new requests when the pooler must not serve. Also runs the pooler's own store
 * member, if it has one.
 */
public final class StoreExtension implements Extension {
    /** Magic of the file that holds the last good version; the last character is the format version. */
    private static final String FILE_MAGIC = "lastgod1";
    /** A poll is held for at most the staleness bound divided by this; the last confirmation is stored as often. */
    private static final int POLLS_PER_BOUND = 10;
    /** A start waits for the store for at most the staleness bound divided by this, then serves the last good version. */
    private static final int START_WAIT_DIVISOR = 5;
    private static final long MAX_POLL_HOLD_MS = 1_000, MIN_CALL_TIMEOUT_MS = 500, MIN_RETRY_MS = 100, MAX_RETRY_MS = 1_000,
            MEMBER_RETRY_MS = 5_000, MAX_START_WAIT_MS = 3_000;

    private final StoreOptions options;
    private final CountDownLatch firstConfirmation = new CountDownLatch(1);
    private PolicyControl control;
    private Clock clock;
    private PolicyView view;
    private final Quorum quorum = new Quorum();
    /** The voting members according to the answer with the highest applied index. */
    private List<String> voters = List.of();
    private long highestApplied;
    /** All members known so far, and those that this pooler polls. */
    private Members knownMembers;
    private final Set<String> followed = new HashSet<>();
    /** The version in force in this pooler and since when; why it cannot be applied, or empty. */
    private PolicyVersion inForce;
    private long inForceSerial, inForceNs;
    private String unusableReason = "";
    private LastGood lastGood = LastGood.getDefaultInstance();
    private final String bootId = bootId();
    private volatile String closedReason = "";
    /** Requests are admitted without consulting the view until then. */
    private volatile long stateValidUntilNs;

    /** Creates the extension; {@link #start} begins to follow the store. */
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
        view = new PolicyView(lastVersion, ConfirmationAge.ageNs(lastGood, bootId, System.nanoTime(), System.currentTimeMillis(),
                2 * stalenessBoundNs), stalenessBoundNs, clock.now());
        stateValidUntilNs = clock.now();
        control.setAdmissionGate(this::closedReason);
        control.addStat("policy_version",
                () -> readState(state -> state.version() == null ? "0" : Long.toString(state.version().number())));
        control.addStat("policy_checksum", () -> readState(state -> state.version() == null ? "none" : state.version().shortChecksum()));
        control.addStat("policy_age_ms", () -> readState(state -> Long.toString(state.ageNs() / Clock.MS)));
        control.addStat("policy_state", () -> readState(state -> state instanceof Serving serving && unusableReason.isEmpty()
                ? serving.confirmed() ? "confirmed" : "unconfirmed" : "closed"));
        if (options.memberId() != null) {
            startDaemon("store-member", this::runMember);
        }
        options.members().names().forEach(this::startFollowing);
        startDaemon("policy-keep", this::runPersistence);
        if (!firstConfirmation.await(Math.min(MAX_START_WAIT_MS, options.stalenessBound().toMillis() / START_WAIT_DIVISOR),
                TimeUnit.MILLISECONDS)) {
            Log.warn("policy: the store has not answered; " + (lastVersion == null ? "new requests are refused until it does"
                    : "starting under the last good version " + lastVersion.number()));
        }
        refresh();
    }

    private static void startDaemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- Store member ----

    /** Starts the member and retries on failure; meanwhile the pooler serves without it, polling the others. */
    private void runMember() {
        StoreMember member = null;
        while (true) {
            try {
                if (member == null) {
                    member = new StoreMember(options.memberId(), options.members(), options.listenAddress() == null
                            ? options.members().address(options.memberId()) : options.listenAddress(), options.directory().resolve("log"),
                            options.bootstrap(), Validator.POLICY);
                    Log.info("store: member " + options.memberId() + " has started");
                } else if (!member.failure().isEmpty()) {
                    Log.warn("store: member " + options.memberId() + " is restarted: " + member.failure());
                    StoreMember failed = member;
                    member = null;
                    failed.close();
                }
            } catch (IOException | RuntimeException e) {
                Log.warn("store: member " + options.memberId() + " cannot start: " + e.getMessage());
            }
            pause(MEMBER_RETRY_MS);
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException("unexpected interrupt", e);
        }
    }

    // ---- Polling ----

    private synchronized void startFollowing(String member) {
        if (followed.add(member)) {
            startDaemon("policy-follow", () -> follow(member));
        }
    }

    /** Polls one member for the policy in force, forever; each member has its own thread. */
    private void follow(String member) {
        long holdMs = Math.min(MAX_POLL_HOLD_MS, options.stalenessBound().toMillis() / POLLS_PER_BOUND);
        long retryMs = 0;
        try (StoreClient client = new StoreClient(knownMembers(), Math.max(MIN_CALL_TIMEOUT_MS, holdMs), holdMs)) {
            while (true) {
                // an answer is only as recent as its question
                long askedNs = clock.now();
                try {
                    processAnswer(member, client.ask(Question.newBuilder().setPoll(Poll.newBuilder().setStanding(currentStanding())
                            .setSeenSerial(seenSerial()).setHoldMs(firstConfirmation.getCount() > 0 ? 0 : (int) holdMs)).build(),
                            member), askedNs);
                    retryMs = 0;
                    if (firstConfirmation.getCount() > 0) {
                        pause(MIN_RETRY_MS); // polls are not held until the first confirmation
                    }
                } catch (IOException | RuntimeException e) {
                    control.services().counters().count(Counter.POLICY_POLLS_FAILED);
                    if (retryMs == 0) {
                        Log.warn("policy: member " + member + " does not answer: " + e.getMessage());
                    }
                    // a member removed from the store may be down permanently, hence the back-off
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

    private synchronized void processAnswer(String member, Answer answer, long askedNs) throws IOException {
        if (!answer.hasNews()) {
            throw new IOException(answer.getProblem());
        }
        News news = answer.getNews();
        if (!view.update(news.hasActive() ? ProtoMapper.toActivation(news.getActive()) : null,
                news.hasVersion() ? ProtoMapper.toVersion(news.getVersion()) : null, clock.now())) {
            throw new IOException("its version does not match the checksum or the activation");
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
            firstConfirmation.countDown();
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

    // ---- Switching versions ----

    /** Why new requests are refused, or null; consults the view only when its state may have changed. */
    private String closedReason() {
        if (clock.now() - stateValidUntilNs >= 0) {
            refresh();
        }
        String reason = closedReason;
        return reason.isEmpty() ? null : reason;
    }

    /** Brings the pooler in line with the view; versions are put in force only here. */
    private synchronized void refresh() {
        long now = clock.now();
        State state = view.stateAt(now);
        PolicyVersion next = state.version();
        long serial = state instanceof Serving serving ? serving.serial() : inForceSerial;
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
        return state instanceof Refusing refusing ? refusing.reason() : unusableReason;
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

    // ---- Last good version ----

    /** Switches versions when a delay has passed, and stores the newest version and its last confirmation time. */
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
                    throw new IllegalStateException("unexpected interrupt", e);
                }
            }
        }
    }

    /** What to store, or null if the file has this version and a confirmation less than {@code intervalNs} older. */
    private LastGood nextToPersist(long intervalNs) {
        State state = view.stateAt(clock.now());
        PolicyVersion newest = view.newestVersion();
        if (newest == null || !unusableReason.isEmpty() || state instanceof Serving serving && !serving.confirmed()) {
            return null;
        }
        long confirmedNs = System.nanoTime() - state.ageNs();
        boolean sameVersion = lastGood.hasVersion() && lastGood.getVersion().getNumber() == newest.number();
        return sameVersion && confirmedNs - lastGood.getHeardNs() < intervalNs ? null
                : LastGood.newBuilder().setVersion(ProtoMapper.toProto(newest)).setBoot(bootId).setHeardNs(confirmedNs)
                        .setHeardUnixMs(System.currentTimeMillis() - state.ageNs() / Clock.MS).build();
    }

    /** The machine's boot ID, empty if the system does not provide one. */
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
            Log.warn("policy: cannot store the last good version: " + e.getMessage());
        }
    }

    private LastGood load() {
        try {
            return LastGood.parseFrom(ChecksummedFile.read(lastGoodFile(), FILE_MAGIC));
        } catch (NoSuchFileException e) {
            return LastGood.getDefaultInstance();
        } catch (IOException e) {
            Log.warn("policy: cannot read the last good version: " + e.getMessage());
            return LastGood.getDefaultInstance();
        }
    }
}
