package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DeadlinesTest {
    private final Deadlines deadlines = new Deadlines(new Clock());
    private final List<String> ran = new ArrayList<>();

    @Test
    void dueTasksRunOnceInOrder() {
        deadlines.at(30, () -> ran.add("c"));
        deadlines.at(10, () -> ran.add("a"));
        deadlines.at(10, () -> ran.add("b"));
        Deadlines.Deadline cancelled = deadlines.at(20, () -> ran.add("dropped"));
        deadlines.cancel(cancelled);
        deadlines.takeDue(29).forEach(Runnable::run);
        assertEquals(List.of("a", "b"), ran);
        deadlines.takeDue(30).forEach(Runnable::run);
        deadlines.takeDue(99).forEach(Runnable::run);
        assertEquals(List.of("a", "b", "c"), ran);
    }

    /** An Error thrown by one task must not keep the following tasks from running. */
    @Test
    void errorEndsOnlyItsOwnTask() {
        Deadlines.runOne(() -> {
            throw new StackOverflowError();
        });
    }
}
