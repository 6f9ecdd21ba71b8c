package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DeadlinesTest {
    private final Deadlines deadlines = new Deadlines(new Clock());
    private final List<String> ran = new ArrayList<>();

    @Test
    void whatIsDueRunsInOrderAndOnce() {
        deadlines.at(30, () -> ran.add("c"));
        deadlines.at(10, () -> ran.add("a"));
        deadlines.at(10, () -> ran.add("b"));
        Deadlines.Deadline dropped = deadlines.at(20, () -> ran.add("dropped"));
        deadlines.cancel(dropped);
        deadlines.takeDue(29).forEach(Runnable::run);
        assertEquals(List.of("a", "b"), ran);
        deadlines.takeDue(30).forEach(Runnable::run);
        deadlines.takeDue(99).forEach(Runnable::run);
        assertEquals(List.of("a", "b", "c"), ran);
    }

    /** What is due behind one that throws an Error is run all the same. */
    @Test
    void anErrorEndsOnlyTheDeadlineThatThrewIt() {
        Deadlines.runOne(() -> {
            throw new StackOverflowError();
        });
    }
}
