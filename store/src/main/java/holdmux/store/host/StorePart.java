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
import holdmux.store.PolicyText;
import holdmux.store.PolicyVersion;
import holdmux.store.PolicyView;
import holdmux.store.PolicyView.Refuse;
import holdmux.store.PolicyView.Serve;
import holdmux.store.PolicyView.Standing;
import holdmux.store.SealedFile;
import holdmux.store.Validator;
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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
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
    /** Parts of the bound: a poll is held for one, and waited for one more; the time used up is kept as often. */
    private static final int PARTS = 10;
    /** How long a start waits for the store before it serves under its last good version, in parts of the bound. */
    private static final int START_PARTS = 5;
    private static final long MOST_HOLD_MS = 5_000, AGAIN_MS = 100, MEMBER_AGAIN_MS = 5_000;

    private final StoreOptions options;
    private final CountDownLatch heard = new CountDownLatch(1);
    private Steering steering;
    private Clock clock;
    private PolicyView view;
    /** What is in force in the pooler, and since when; a version that it could not take up, and why. */
    private PolicyVersion inForce;
    private long inForceSerial, inForceNs;
    private String unfit = "";
    private LastGood kept = LastGood.getDefaultInstance();
    private volatile String closed = "";
    /** Until then nothing new needs to be looked at before a request is taken. */
    private volatile long openUntilNs;
    private volatile StoreMember member;

    public StorePart(StoreOptions options) {
        this.options = options;
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
        view = new PolicyView(last, kept.getSpentNs(), options.bound().toNanos(), clock.now());
        openUntilNs = clock.now();
        steering.gate(this::closed);
        steering.show("policy_version", () -> told(s -> s.version() == null ? "0" : Long.toString(s.version().number())));
        steering.show("policy_checksum", () -> told(s -> s.version() == null ? "none" : s.version().shortSum()));
        steering.show("policy_age_ms", () -> told(s -> Long.toString(s.ageNs() / Clock.MS)));
        steering.show("policy_state", () -> told(s -> s instanceof Serve serve && unfit.isEmpty()
                ? serve.confirmed() ? "confirmed" : "unconfirmed" : "closed"));
        if (options.id() != null) {
            daemon("store-member", this::keepMember);
        }
        daemon("policy-follow", this::follow);
        daemon("policy-keep", this::keep);
        if (!heard.await(options.bound().toNanos() / START_PARTS, TimeUnit.NANOSECONDS)) {
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
        while (true) {
            try {
                StoreMember now = member;
                if (now == null) {
                    member = new StoreMember(options.id(), options.members(), options.listen() == null
                            ? options.members().address(options.id()) : options.listen(), options.folder().resolve("log"), options.first(),
                            Validator.POLICY);
                    Log.info("store: member " + options.id() + " takes part");
                } else if (!now.failure().isEmpty()) {
                    Log.warn("store: member " + options.id() + " is started again: " + now.failure());
                    member = null;
                    now.close();
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

    /** Asks one member after another what is in force: the same one for as long as it answers. */
    private void follow() {
        long partMs = options.bound().toMillis() / PARTS;
        long holdMs = Math.min(MOST_HOLD_MS, partMs);
        List<String> order = new ArrayList<>(options.members().names());
        // each pooler in an order of its own, so that they do not all ask one; its own member first
        Collections.shuffle(order, new Random(steering.services().config().seed()));
        if (options.id() != null && order.remove(options.id())) {
            order.add(0, options.id());
        }
        try (StoreClient client = new StoreClient(options.members(), Math.max(500, partMs))) {
            for (int at = 0;;) {
                // what is heard is as old as the question: the store confirmed it after that
                long askedNs = clock.now();
                try {
                    Answer answer = client.ask(Question.newBuilder().setPoll(Poll.newBuilder().setStanding(standing())
                            .setSeenSerial(seenSerial()).setHoldMs(heard.getCount() > 0 ? 0 : (int) holdMs)).build(),
                            order.get(at));
                    if (!answer.hasNews()) {
                        throw new IOException(answer.getProblem());
                    }
                    heard(answer.getNews(), askedNs);
                } catch (IOException | RuntimeException e) {
                    steering.services().counters().count(Counter.POLICY_POLLS_FAILED);
                    at = (at + 1) % order.size();
                    pause(AGAIN_MS);
                }
            }
        }
    }

    private synchronized long seenSerial() {
        return view.seenSerial();
    }

    private synchronized void heard(News news, long askedNs) throws IOException {
        boolean taken = view.heard(news.hasActive() ? Forms.activation(news.getActive()) : null,
                news.hasVersion() ? Forms.version(news.getVersion()) : null, askedNs);
        if (!taken) {
            throw new IOException("the member told a version that is torn");
        }
        refresh();
        heard.countDown();
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

    private synchronized String told(Function<Standing, String> of) {
        return of.apply(view.at(clock.now()));
    }

    // ---- The last good version ----

    /** Switches when a delay has passed, and keeps what is in force and how much of the bound is used up. */
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
        if (inForce == null || !unfit.isEmpty()) {
            return null;
        }
        long age = view.at(clock.now()).ageNs();
        // in touch the age is about a poll's hold: that is no time used up
        long spent = age > 2 * partNs ? age : 0;
        boolean same = kept.hasVersion() && kept.getVersion().getNumber() == inForce.number();
        return same && Math.abs(spent - kept.getSpentNs()) < partNs ? null
                : LastGood.newBuilder().setVersion(Forms.of(inForce)).setSpentNs(spent).build();
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
