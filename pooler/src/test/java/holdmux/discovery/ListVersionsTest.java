package holdmux.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.config.HostList;
import holdmux.config.HostList.Host;
import holdmux.decision.SplitterApi.Availability;
import holdmux.discovery.ListVersions.Disposition;
import holdmux.discovery.ListVersions.RequestState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ListVersionsTest {
    private static final int SERVERS = 4, STEPS = 60;

    private static HostList list(long seq, boolean whole, Host... hosts) {
        return new HostList(seq, whole, List.of(hosts));
    }

    private static Host host(String name, Availability availability) {
        return new Host(name, null, "", "", 0, availability, 1, 0, false);
    }

    private final Host up = host("s", Availability.READY);
    private final ListVersions versions = new ListVersions(list(41, true, up));

    /** Any list applied used to clear the need for a whole one: after discovery moved, changes were requested from the old version. */
    @Test
    void onlyAWholeListRequestedSinceSatisfiesTheNeedForOne() {
        RequestState before = versions.requestState();
        versions.requestWholeList();
        HostList change = list(42, false, up);
        assertEquals(Disposition.APPLY, versions.classify(change, before));
        versions.applied(change, before);
        HostList early = list(42, true, up);
        versions.applied(early, before);
        assertTrue(versions.needsWholeList(), "requested before the whole list was needed");
        versions.applied(early, versions.requestState());
        assertFalse(versions.needsWholeList());
    }

    /** An agent that had restarted its numbering used to be taken for one without changes, since its answers have no entries. */
    @Test
    void restartedNumberingRequestsTheWholeList() {
        HostList nothing = list(1, false);
        assertEquals(Disposition.BEHIND, versions.classify(nothing, versions.requestState()));
        versions.sawOlder();
        assertTrue(versions.needsWholeList());
        RequestState early = versions.requestState();
        HostList whole = list(2, true, up);
        assertEquals(Disposition.APPLY, versions.classify(whole, early));
        versions.applied(whole, early);
        assertEquals(2, versions.version());
        assertEquals(Disposition.SUPERSEDED, versions.classify(list(43, false, up), early), "requested under the old numbering");
    }

    /** A version that advanced without an entry used to be taken for the current state. */
    @Test
    void advanceWithoutEntriesRequestsTheWholeList() {
        HostList empty = list(42, false);
        assertEquals(Disposition.EMPTY_ADVANCE, versions.classify(empty, versions.requestState()));
        versions.advanced(empty);
        assertTrue(versions.needsWholeList());
        assertEquals(Disposition.UNCHANGED, versions.classify(empty, versions.requestState()));
    }

    /** If the only entry of a change could not be read, the version used to advance past it, and it was never requested again. */
    @Test
    void unreadableEntryCountsAsAChange() {
        HostList unfit = new HostList(42, false, List.of(), List.of(new HostList.Unfit("s", "draining", "no dial")));
        assertEquals(Disposition.APPLY, versions.classify(unfit, versions.requestState()));
    }

    /** After answers that overlap, are lost, advance without entries or follow a restarted numbering, the agent's state is applied. */
    @Property(tries = 300, seed = "20261202")
    void convergesToTheStateOfTheAgent(@ForAll long seed) {
        Simulation simulation = new Simulation(new SplittableRandom(seed));
        for (int i = 0; i < STEPS; i++) {
            simulation.step();
        }
        simulation.requestWholeList();
        for (int i = 0; i < 3; i++) {
            simulation.answer(simulation.newCall(), false);
        }
        assertEquals(simulation.agent, simulation.applied);
    }

    /** An agent, which keeps the version of the last change of each server, and a caller with open calls. */
    private static final class Simulation {
        private record Call(RequestState atRequest, boolean whole) {}

        final Map<String, Availability> agent = new TreeMap<>();
        final Map<String, Availability> applied = new TreeMap<>();
        private final SplittableRandom random;
        private final Map<String, Long> changedAt = new HashMap<>();
        private final List<Call> calls = new ArrayList<>();
        private final ListVersions versions;
        private long seq = 41;

        Simulation(SplittableRandom random) {
            this.random = random;
            for (int i = 0; i < SERVERS; i++) {
                agent.put("s" + i, Availability.READY);
                changedAt.put("s" + i, 41L);
            }
            applied.putAll(agent);
            versions = new ListVersions(listFor(new Call(new RequestState(0, 0, 0), true), false));
        }

        void step() {
            switch (random.nextInt(6)) {
                case 0, 1 -> change();
                case 2 -> calls.add(newCall());
                case 3 -> answerAny(false);
                case 4 -> answerAny(true);
                default -> {
                    if (random.nextInt(5) == 0) {
                        seq = 1;
                        changedAt.replaceAll((name, at) -> 1L);
                    }
                }
            }
        }

        private void change() {
            String name = "s" + random.nextInt(SERVERS);
            agent.put(name, random.nextBoolean() ? Availability.READY : Availability.DRAINING);
            changedAt.put(name, ++seq);
        }

        void requestWholeList() {
            versions.requestWholeList();
        }

        Call newCall() {
            return new Call(versions.requestState(), versions.needsWholeList());
        }

        private void answerAny(boolean withoutChange) {
            if (!calls.isEmpty()) {
                answer(calls.remove(random.nextInt(calls.size())), withoutChange);
            }
        }

        void answer(Call call, boolean withoutChange) {
            HostList list = listFor(call, withoutChange && !call.whole());
            switch (versions.classify(list, call.atRequest())) {
                case APPLY -> {
                    list.hosts().forEach(host -> applied.put(host.name(), host.availability()));
                    versions.applied(list, call.atRequest());
                }
                case UNCHANGED -> versions.confirmed();
                case EMPTY_ADVANCE -> versions.advanced(list);
                case BEHIND, OLDER -> versions.sawOlder();
                case SUPERSEDED -> { }
                default -> throw new AssertionError();
            }
        }

        private HostList listFor(Call call, boolean withoutChange) {
            List<Host> hosts = new ArrayList<>();
            agent.forEach((name, availability) -> {
                if (!withoutChange && (call.whole() || changedAt.get(name) > call.atRequest().version())) {
                    hosts.add(host(name, availability));
                }
            });
            return new HostList(seq, call.whole(), hosts);
        }
    }
}
