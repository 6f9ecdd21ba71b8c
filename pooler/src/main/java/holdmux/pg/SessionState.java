package holdmux.pg;

import holdmux.core.Request;
import java.util.ArrayDeque;
import java.util.List;

/**
 * The state of a client connection: what its reading thread is doing, the commands that wait for their answers, and the request in
 * progress. Every transition that may close the connection is here; a command that was read is answered unless the connection
 * ends under it. Thread-safe; does no I/O.
 */
final class SessionState {
    /** What the reading thread is doing. */
    enum Input {
        /** It reads the startup packet. */
        STARTING,
        /** It waits for a message of which nothing has come. */
        WAITING,
        /** It reads a message. */
        READING,
        /** It has read a message that is not queued yet. */
        RECEIVED,
        /** The connection has ended: what is still read is discarded. */
        CLOSED
    }

    /** What became of a command that was read. */
    enum Offer {
        /** It is queued, and a worker answers the queue already. */
        QUEUED,
        /** It is queued, and the caller has to have the queue answered. */
        TO_ANSWER,
        /** The connection has ended: it must not be forwarded. */
        DROPPED
    }

    /**
     * What is left when a connection ends.
     *
     * @param first    whether it had not ended before
     * @param commands the commands that had not been answered
     * @param request  the request in progress, null if there is none
     */
    record Remains(boolean first, List<ClientCommand> commands, Request request) {}

    /** Limits on the commands and bytes queued behind the command being answered. Pipelining drivers send a few commands; the
     * limits of all clients add up to a few MiB. Commands above the limits are refused in order, up to the third number. */
    static final int MAX_QUEUED = 32, MAX_QUEUED_BYTES = 8_192, MAX_PENDING_REFUSALS = 10_000;

    private final ClientCommand refusal;
    private Input input = Input.STARTING;
    /** Commands to answer: at most MAX_QUEUED in the queue, then refusals of those above the limits, then the final command. */
    private final ArrayDeque<ClientCommand> queue = new ArrayDeque<>(2);
    private int queuedBytes, pendingRefusals;
    private ClientCommand finalCommand;
    /** Whether commands are being answered, too many were sent at once, and the connection is to be closed behind the last answer. */
    private boolean answering, overloaded, closeRequested;
    private Request request;
    /** Whether the client has cancelled the request in progress. */
    private boolean cancelRequested;

    /** {@code refusal} is answered in place of each command above the limits. */
    SessionState(ClientCommand refusal) {
        this.refusal = refusal;
    }

    // ---- The reading thread ----

    /**
     * Notes that the startup packet is dealt with and the first message is due.
     *
     * @param begun whether some of it has been read already
     */
    synchronized void awaitMessage(boolean begun) {
        if (input != Input.CLOSED) {
            input = begun ? Input.READING : Input.WAITING;
        }
    }

    /** Notes that a message has begun; false if the connection has ended and the message must be ignored. */
    synchronized boolean beginMessage() {
        awaitMessage(true);
        return input != Input.CLOSED;
    }

    /**
     * Whether to read no further message, since the connection is to be closed and commands are being answered: it is closed behind
     * their answers. A client that always has commands out would otherwise keep it.
     */
    synchronized boolean stopReading() {
        closeRequested |= answering;
        return answering;
    }

    /** Notes that a message was read to its end, so that from now on it is owed an answer. It is to be offered next. */
    synchronized void messageReceived() {
        if (input != Input.CLOSED) {
            input = Input.RECEIVED;
        }
    }

    /** Whether another command can be queued. Once one is refused, all are until the queue is empty. */
    synchronized boolean canQueue() {
        overloaded |= queue.size() >= MAX_QUEUED;
        return pendingRefusals == 0 && !overloaded && queuedBytes <= MAX_QUEUED_BYTES;
    }

    /**
     * Queues a command that was read. From then on the next message is due: the answer may be sent, and the connection be closed
     * behind it, before the reading thread comes to that message.
     *
     * @param nextBegun whether some of the next message has been read already
     */
    synchronized Offer offer(ClientCommand command, boolean nextBegun) {
        if (input == Input.CLOSED) {
            return Offer.DROPPED;
        }
        queue.add(command);
        queuedBytes += command.length();
        awaitMessage(nextBegun);
        return startAnswering();
    }

    /** Queues the last command of a connection, behind all others and all refusals. */
    synchronized Offer offerFinal(ClientCommand command) {
        if (input == Input.CLOSED) {
            return Offer.DROPPED;
        }
        finalCommand = command;
        input = Input.WAITING; // for the end of the input
        return startAnswering();
    }

    /**
     * Notes a command that was read and is refused in order, after the queued ones; null if there are too many of them. The next
     * message is due then, as behind {@link #offer}.
     *
     * @param nextBegun whether some of the next message has been read already
     */
    synchronized Offer offerRefusal(boolean nextBegun) {
        if (pendingRefusals == MAX_PENDING_REFUSALS) {
            return null;
        }
        if (input == Input.CLOSED) {
            return Offer.DROPPED;
        }
        pendingRefusals++;
        awaitMessage(nextBegun);
        return startAnswering();
    }

    private Offer startAnswering() {
        boolean first = !answering;
        answering = true;
        return first ? Offer.TO_ANSWER : Offer.QUEUED;
    }

    // ---- The answering thread ----

    /** Notes that no worker was free for the queue, so that all of it is refused. */
    synchronized void overload() {
        overloaded = true;
    }

    /** Whether the commands in the queue are refused. */
    synchronized boolean isOverloaded() {
        return overloaded;
    }

    /** The next command to answer; null if there is none, and answering has ended. */
    synchronized ClientCommand nextCommand() {
        ClientCommand command = queue.poll();
        if (command != null) {
            queuedBytes -= command.length();
        } else if (pendingRefusals > 0) {
            pendingRefusals--;
            command = refusal;
        } else {
            command = finalCommand;
            finalCommand = null;
        }
        if (command == null) {
            answering = false;
            overloaded = false;
        }
        return command;
    }

    /** Sets the request in progress; false if the connection has ended. */
    synchronized boolean startRequest(Request started) {
        request = started;
        return input != Input.CLOSED;
    }

    /** Notes that the request has ended; whether its client cancelled it and is still connected. */
    synchronized boolean finishRequest() {
        boolean wasCancelled = cancelRequested;
        request = null;
        cancelRequested = false;
        return wasCancelled && input != Input.CLOSED;
    }

    /** Notes that the client cancels the request in progress, and returns that; null if there is none. */
    synchronized Request cancelRequest() {
        cancelRequested = request != null;
        return request;
    }

    // ---- Transitions that end the connection ----

    /** Has the connection closed behind the last answer. */
    synchronized void requestClose() {
        closeRequested = true;
    }

    /** Ends the connection if that was requested, or {@code always}, and it is idle; whether it has ended now. */
    synchronized boolean endIfRequested(boolean always) {
        return (closeRequested || always) && endIfIdle();
    }

    /** Ends the connection unless a message is being read or answered; whether it has ended now. */
    synchronized boolean endIfIdle() {
        boolean isIdle = !answering && (input == Input.WAITING || input == Input.STARTING);
        input = isIdle ? Input.CLOSED : input;
        return isIdle;
    }

    /** Ends the connection unless a message that was read is owed an answer; whether it has ended now. */
    synchronized boolean endUnlessOwed() {
        boolean isOwed = answering || input == Input.RECEIVED;
        boolean ends = !isOwed && input != Input.CLOSED;
        input = ends ? Input.CLOSED : input;
        return ends;
    }

    /** Whether the startup packet is still being read. */
    synchronized boolean isStarting() {
        return input == Input.STARTING;
    }

    /** Whether the connection has ended. */
    synchronized boolean isClosed() {
        return input == Input.CLOSED;
    }

    /** Ends the connection at once. */
    synchronized Remains end() {
        boolean first = input != Input.CLOSED;
        input = Input.CLOSED;
        Remains remains = new Remains(first, List.copyOf(queue), request);
        queue.clear();
        queuedBytes = 0;
        pendingRefusals = 0;
        finalCommand = null;
        return remains;
    }
}
