package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.config.HostList;
import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.Workers;
import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.RoleObserved;
import holdmux.statement.SqlState;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the PostgreSQL front and upstream together over loopback, against one scripted primary. */
@Timeout(20)
class PoolerTest extends PoolerFixture {
    @Test
    void startupAndQueryInOnePacketAreBothAnswered() throws IOException {
        assertEquals("hello TDCZ", ask(WRITE));
        assertEquals("hello IZ", ask(""));
        assertEquals(1, queries.size());
        assertTrue(queries.get(0).matches(".*d=(29\\d\\d|3000),.*"), "d is the remaining time: " + queries.get(0));
    }

    @Test
    void badInputIsAnsweredAndNeverSent() throws IOException {
        assertEquals("hello E42601Z", ask("SELECT 1"));
        assertEquals("hello E22023Z", ask(WRITE.replace("save-quote", "no-such")));
        assertEquals("hello E22023Z", ask(WRITE.replace("cluster=2", "cluster=9")));
        assertEquals("hello E22023Z", ask(WRITE.replace("save-quote", "my-quotes")), "a write in a read-only class");
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                m.begin('P').put("extended").end();
            });
            assertEquals("hello E0A000|", readTypes(client, 2));
        }
        try (Socket client = client()) {
            send(client, m -> m.put(1 << 30).put(0));
            assertEquals("E08P01|", readTypes(client, 1));
        }
        assertEquals(6, counters.get(Counter.BAD_INPUT));
        assertTrue(queries.isEmpty());
    }

    /** An insert of 4 MiB spans many buffers and is forwarded unchanged but for d; much longer ones are refused at their header. */
    @Test
    void aLongStatementIsForwardedUnchanged() throws IOException {
        String insert = WRITE.replace("\\x9f", "\\x" + "9f0a".repeat(2 * MIB));
        try (Socket client = client()) {
            send(client, PoolerTest::startup);
            byte[] text = insert.getBytes(StandardCharsets.UTF_8);
            client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(text.length + 5).array());
            client.getOutputStream().write(text);
            client.getOutputStream().write(0);
            assertEquals("hello TDCZ", readTypes(client, 2));
            assertEquals(insert, queries.get(0).replaceAll("d=\\d+,", "d=3000,"));
            client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(60 * MIB).array());
            assertEquals("E54000|", readTypes(client, 1));
        }
    }

    /** Writes a Query message with a value of 4 MiB, but for its last byte. */
    private static void writeAllButTheEnd(Socket client) {
        String write = WRITE.replace("id=9b,", "id=l" + LAST_ID.incrementAndGet() + ",");
        byte[] text = write.replace("\\x9f", "\\x" + "9f0a".repeat(2 * MIB)).getBytes(StandardCharsets.UTF_8);
        try {
            client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(text.length + 5).array());
            client.getOutputStream().write(text);
        } catch (IOException e) {
            // the test has ended
        }
    }

    /**
     * Clients that have begun long queries do not go on. Guards against ordinary queries that wait without limit for a buffer
     * behind them: they were not answered within their time, or were sent after their clients had gone.
     */
    @Test
    void unfinishedLongQueriesDoNotHoldUpOrdinaryOnes() throws Exception {
        List<Socket> writers = new ArrayList<>();
        CountDownLatch written = new CountDownLatch(2); // as many as the buffers hold
        try {
            for (int i = 0; i < 4; i++) {
                Socket writer = client();
                writers.add(writer);
                send(writer, PoolerTest::startup);
                Workers.newThread("writer", () -> {
                    writeAllButTheEnd(writer);
                    written.countDown();
                }).start();
            }
            written.await();
            String ordinary = WRITE.replace("\\x9f", "\\x" + "9f".repeat(8 * 1024)).replace("d=3000", "d=1000");
            for (int i = 0; i < 5; i++) {
                long start = System.nanoTime();
                assertEquals("hello TDCZ", ask(ordinary));
                assertTrue(System.nanoTime() - start < 1_500 * Clock.MS, "answered over 0.5 s after its time");
            }
        } finally {
            for (Socket writer : writers) {
                writer.close();
            }
        }
    }

    /** A long query for which there is no memory is refused behind its last byte, and its connection goes on. */
    @Test
    void aLongQueryWithoutMemoryIsRefused() throws Exception {
        try (Socket first = client(); Socket second = client(); Socket third = client()) {
            for (Socket client : List.of(first, second, third)) {
                send(client, PoolerTest::startup);
                assertEquals("hello ", readTypes(client, 1));
                writeAllButTheEnd(client);
            }
            third.getOutputStream().write(0);
            assertEquals("E53300Z", readTypes(third, 1));
            send(third, m -> query(m, WRITE));
            assertEquals("TDCZ", readTypes(third, 1));
            for (Socket client : List.of(first, second)) {
                client.getOutputStream().write(0);
                assertEquals("TDCZ", readTypes(client, 1));
            }
        }
        assertEquals(1, counters.get(Counter.QUERIES_WITHOUT_BUFFER));
    }

    /** Guards against cutting off a client that sends slowly but steadily: a message times out by a long pause, not by its duration. */
    @Test
    void aSlowWriterIsServed() throws Exception {
        byte[] text = (WRITE + "\0").getBytes(StandardCharsets.UTF_8);
        try (Socket client = client()) {
            send(client, PoolerTest::startup);
            client.getOutputStream().write('Q');
            Thread.sleep(1_500);
            client.getOutputStream().write(ByteBuffer.allocate(4).putInt(text.length + 4).array());
            for (int at = 0; at < text.length; at += 100) {
                client.getOutputStream().write(text, at, Math.min(100, text.length - at));
                Thread.sleep(1_500);
            }
            assertEquals("hello TDCZ", readTypes(client, 2));
        }
    }

    /** Guards against buffering long values completely, a few of which would exhaust the memory. */
    @Test
    void aLongAnswerIsStreamed() throws Exception {
        byte[] answer = longRow(4 * MIB);
        pieces = new byte[][] {Arrays.copyOf(answer, 70_000), Arrays.copyOfRange(answer, 70_000, answer.length)};
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, WRITE);
            });
            assertEquals("hello ", readTypes(client, 1));
            nextPiece.release();
            byte[] first = client.getInputStream().readNBytes(70_000);
            assertArrayEquals(pieces[0], first, "received before the server sent the rest");
            nextPiece.release();
            byte[] rest = client.getInputStream().readNBytes(answer.length - 70_000);
            assertArrayEquals(pieces[1], rest);
            pieces = null;
            send(client, m -> query(m, WRITE));
            assertEquals("TDCZ", readTypes(client, 1));
        }
        assertEquals(1, counters.get(Counter.LONG_ANSWERS));
        assertTrue(counters.get(Counter.SERVER_REUSES) > 0, "the server connection is reused");
    }

    /** Guards against losing the role behind a long value: a former primary that says so was read from all the same. */
    @Test
    void theRoleBehindALongValueIsNoted() throws IOException {
        answerScript = m -> AnswerTest.result(m, "v".repeat(100_000)).parameterStatus("replication_role", "standby").readyForQuery();
        assertEquals("hello TDCZ", ask(WRITE));
        assertEquals(1, counters.get(Counter.LONG_ANSWERS));
        List<Role> known = List.of();
        for (int i = 0; i < 300 && !known.equals(List.of(Role.REPLICA)); i++) {
            sleep(10); // it is noted behind the answer
            known = balancer.roles().known().stream().map(RoleObserved::role).toList();
        }
        assertEquals(List.of(Role.REPLICA), known);
    }

    /** A long answer that breaks midway must be seen to fail and must not be retried, since the client has received part of it. */
    @Test
    void aBrokenLongAnswerClosesTheClientConnection() throws Exception {
        pieces = new byte[][] {Arrays.copyOf(longRow(MIB), 100_000), null};
        nextPiece.release(10);
        String types = ask(WRITE.replace("save-quote", "my-quotes").replace("INSERT INTO facts (code, data) VALUES ('7f', "
                + "'\\x9f') RETURNING data", "SELECT data FROM facts WHERE code = '7f'"));
        assertEquals("hello TD|", types);
        assertEquals(1, queries.size());
    }

    /** Guards against waiting for ReadyForQuery until the deadline when a complete result has been received. */
    @Test
    void anAnswerWithoutReadyForQueryIsServedAtOnce() throws Exception {
        answerScript = m -> AnswerTest.result(m, "v");
        long start = System.nanoTime();
        assertEquals("hello TDCZ", ask(WRITE));
        assertTrue(System.nanoTime() - start < 2_500 * Clock.MS, "answered only after the attempt's 3 s");
        answerScript = m -> AnswerTest.result(m, "v").readyForQuery();
        assertEquals("hello TDCZ", ask(WRITE), "served on another connection");
    }

    /** A server begins a long value and then sends nothing: the client must see the failure close to its deadline. */
    @Test
    void aStalledLongAnswerClosesTheClientConnectionInTime() throws Exception {
        pieces = new byte[][] {Arrays.copyOf(longRow(MIB), 100_000), new byte[0]};
        nextPiece.release();
        long start = System.nanoTime();
        assertEquals("hello TD|", ask(WRITE.replace("d=3000", "d=700")));
        assertTrue(System.nanoTime() - start < 4_500 * Clock.MS, "closed only after 4.5 s of silence");
    }

    /**
     * A server pauses within a long answer, also past the request's deadline. Guards against cutting off what the server still gives,
     * for classes with and without worth when late.
     */
    @ParameterizedTest
    @CsvSource({"my-quotes, 600", "my-quotes, 1000", "my-quotes, 1800", "save-quote, 1000", "save-quote, 1800"})
    void aLongAnswerWithPausesIsServedWhole(String className, long pauseMs) throws Exception {
        byte[] answer = longRow(300_000);
        pieces = new byte[][] {Arrays.copyOf(answer, 70_000), Arrays.copyOfRange(answer, 70_000, 200_000),
            Arrays.copyOfRange(answer, 200_000, answer.length)};
        String id = "p" + LAST_ID.incrementAndGet();
        String text = className.equals("save-quote") ? WRITE : read(id, "7f", className);
        CompletableFuture<String> types = new CompletableFuture<>();
        Workers.newThread("asking", () -> {
            try {
                types.complete(ask(text.replace("d=3000", "d=700")));
            } catch (IOException e) {
                types.completeExceptionally(e);
            }
        }).start();
        for (int i = 0; i < pieces.length; i++) {
            nextPiece.release();
            sleep(i < pieces.length - 1 ? pauseMs : 0);
        }
        assertEquals("hello TDCZ", types.get());
    }

    /** Behind the row and CommandComplete of a long answer a server that sends nothing more costs its client no time. */
    @Test
    void aLongAnswerWithoutReadyForQueryIsServed() throws Exception {
        byte[] answer = longRow(300_000);
        pieces = new byte[][] {Arrays.copyOf(answer, answer.length - 6), new byte[0]};
        nextPiece.release();
        long start = System.nanoTime();
        assertEquals("hello TDCZ", ask(WRITE));
        assertTrue(System.nanoTime() - start < 1_500 * Clock.MS);
    }

    /** Guards against the cap being filled by clients that send nothing or keep connections they no longer use. */
    @Test
    void idleClientsMakeRoomForNewOnes() throws Exception {
        List<Socket> kept = new ArrayList<>();
        try {
            for (int i = 0; i < SOCKETS / 2; i++) {
                kept.add(client());
                send(kept.get(i), PoolerTest::startup);
                assertEquals("hello ", readTypes(kept.get(i), 1));
            }
            send(kept.get(0), m -> m.put('Q').put(100)); // nor does an incomplete message keep the connection
            send(kept.get(1), m -> query(m, "SELECT 1")); // nor does a query that cannot be served
            assertEquals("E42601Z", readTypes(kept.get(1), 1));
            assertEquals("hello IZ", ask(""), "the oldest client without a request is closed");
            awaitOpenClients(SOCKETS / 2 - 1);
            assertEquals("|", readTypes(kept.get(0), 1));
            assertEquals("hello IZ", ask(""), "one place is free");
            awaitOpenClients(SOCKETS / 2 - 1);
            Socket late = client();
            send(late, PoolerTest::startup);
            assertEquals("hello ", readTypes(late, 1));
            kept.add(late);
            assertEquals("hello IZ", ask(""), "the next oldest is closed");
            awaitOpenClients(SOCKETS / 2 - 1);
            assertEquals("|", readTypes(kept.get(1), 1));
            kept.subList(0, 2).clear();
            for (Socket client : kept) {
                send(client, m -> query(m, ""));
                assertEquals("IZ", readTypes(client, 1));
            }
            Thread.sleep(300);
            assertEquals("|", readTypes(kept.get(0), 1), "when crowded, the client that is idle longest is closed");
            assertEquals("hello IZ", ask(""));
            Socket last = kept.get(kept.size() - 1);
            send(last, m -> query(m, ""));
            assertEquals("IZ", readTypes(last, 1), "below half the cap, idle clients stay");
        } finally {
            for (Socket socket : kept) {
                socket.close();
            }
        }
    }

    /** A stalled startup or message has to be ended within 3 s; earlier queries are answered first. */
    @Test
    void anIncompleteMessageTimesOut() throws IOException {
        try (Socket silent = client(); Socket incomplete = client()) {
            send(incomplete, m -> {
                startup(m);
                query(m, "");
                m.put('Q').put(100);
            });
            long start = System.nanoTime();
            assertEquals("E57014|", readTypes(silent, 1));
            assertEquals("hello IZE57014|", readTypes(incomplete, 3));
            assertTrue(System.nanoTime() - start < 2_800_000_000L);
        }
    }

    /** Guards against a protocol error cutting off the answers to earlier queries. */
    @Test
    void queuedQueriesAreAnsweredBeforeALaterProtocolError() throws Exception {
        Consumer<MessageBuilder> answer = answerScript;
        answerScript = m -> {
            sleep(200);
            answer.accept(m);
        };
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, WRITE);
                m.put('Q').put(-5);
            });
            assertEquals("hello TDCZE08P01|", readTypes(client, 3));
        }
    }

    /** Of hundreds of commands sent at once, each gets one answer, mostly a refusal; closing the connection used to lose some. */
    @Test
    void aFloodOfCommandsIsRefused() throws IOException {
        Consumer<MessageBuilder> answer = answerScript;
        answerScript = m -> {
            sleep(300);
            answer.accept(m);
        };
        try (Socket client = client()) {
            send(client, PoolerTest::startup);
            assertEquals("hello ", readTypes(client, 1));
            MessageBuilder message = new MessageBuilder(new byte[100_000]);
            for (int i = 0; i < 300; i++) {
                query(message, WRITE);
            }
            message.writeTo(client.getOutputStream());
            String types = readTypes(client, 300);
            assertTrue(types.matches("(TDCZ|E53300Z){300}"), types);
            assertTrue(types.contains("E53300Z".repeat(30)), "most are refused immediately");
        }
    }

    @Test
    void countersAreShownOnRequest() throws IOException {
        String types = ask("show stats;");
        assertEquals("hello T" + "D".repeat(counters.snapshot().size()) + "CZ", types);
    }

    /** If the connection breaks after the last byte was sent, the write may have run: it fails and is never sent again. */
    @Test
    void aWriteCutOffAfterItsLastByteIsNotRetried() throws IOException {
        answerScript = null;
        assertEquals("hello E08007Z", ask(WRITE));
        assertEquals(1, queries.size());
    }

    @Test
    void aWriteRefusedByAFullServerIsRetried() throws IOException {
        answerScript = m -> {
            answerScript = ok -> AnswerTest.result(ok, "v").readyForQuery();
            m.error(false, SqlState.TOO_MANY_CONNECTIONS, "full", null).readyForQuery();
        };
        assertEquals("hello TDCZ", ask(WRITE));
        assertEquals(2, queries.size());
    }

    /** During shutdown, requests that fit in the remaining time are served on open connections; writes that may outlast it are refused. */
    @Test
    void requestsThatOutlastTheShutdownAreRefused() throws IOException {
        front.announceShutdown(2_000 * Clock.MS);
        assertEquals("hello TDCZ", ask(WRITE.replace("d=3000", "d=1000")));
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, WRITE);
            });
            assertEquals("hello E57P03Z|", readTypes(client, 3), "the client has to use another pooler");
        }
        assertEquals(1, queries.size());
    }

    /**
     * A second copy of an answer is still on its way when the connection is used again. Guards against taking it for the answer
     * to the next request, which was then served another client's value, as was each one behind it.
     */
    @Test
    void aLateCopyOfAnAnswerIsNotServedToTheNextRequest() throws Exception {
        copiedAnswer = 0;
        for (String value : List.of("first", "second", "third")) {
            answerScript = m -> AnswerTest.result(m, value).readyForQuery();
            assertEquals(value, askForValue(WRITE));
        }
        assertEquals(3, queries.size());
    }

    /** Guards against taking the late copy of a refusal for the next write's, which was then sent again although it had run. */
    @Test
    void aLateCopyOfARefusalDoesNotRepeatTheNextWrite() throws Exception {
        copiedAnswer = 0;
        answerScript = m -> {
            answerScript = ok -> AnswerTest.result(ok, "v").readyForQuery();
            m.error(false, SqlState.TOO_MANY_CONNECTIONS, "full", null).readyForQuery();
        };
        assertEquals("hello TDCZ", ask(WRITE.replace("id=9b", "id=9c")));
        assertEquals("hello TDCZ", ask(WRITE.replace("id=9b", "id=9d")));
        assertEquals(List.of("9c", "9c", "9d"), queries.stream().map(q -> q.replaceAll(".*id=(..).*", "$1")).toList());
    }

    /** Guards against sending to a server that began to drain while the connection to it was being opened. */
    @Test
    void aDecisionIsCheckedAgainBeforeTheQueryIsWritten() throws IOException {
        String drains = "{\"seq\":42,\"whole\":false,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"127.0.0.1:"
                + server.getLocalPort() + "\",\"block\":2,\"health\":\"draining\"}]}";
        beforeGreeting = () -> {
            while (counters.get(Counter.ATTEMPTS) == 0) {
                sleep(1); // a probe's connection may be opened first
            }
            balancer.listChanged(HostList.decode(drains), false);
        };
        assertEquals("hello E53300Z", ask(WRITE.replace("d=3000", "d=1000")));
        assertEquals(List.of(), queries);
        assertEquals(1, counters.get(Counter.SENDS_OUTDATED));
    }

    /** Guards against a drain that cuts off accepted queries, or that leaves idle clients connected. */
    @Test
    void aDrainAnswersAcceptedQueries() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        answerScript = m -> {
            asked.countDown();
            while (go.getCount() > 0) {
                sleep(5);
            }
            AnswerTest.result(m, "v").readyForQuery();
        };
        try (Socket idle = client(); Socket busy = client()) {
            send(idle, PoolerTest::startup);
            assertEquals("hello ", readTypes(idle, 1));
            send(busy, m -> {
                startup(m);
                query(m, WRITE);
            });
            asked.await();
            front.closeWhenIdle();
            assertEquals("|", readTypes(idle, 1));
            go.countDown();
            assertEquals("hello TDCZ|", readTypes(busy, 3));
        }
        assertFalse(queries.isEmpty());
    }

    /** During an evacuation the readiness check fails and idle connections are closed; ending the evacuation undoes both. */
    @Test
    void evacuationClosesClientsAndCanBeUndone() throws Exception {
        try (Socket idle = client(); Socket busy = client(); Socket kept = client()) {
            for (Socket client : List.of(idle, busy, kept)) {
                send(client, m -> {
                    startup(m);
                    query(m, "");
                });
                assertEquals("hello IZ", readTypes(client, 2));
            }
            front.setEvacuating(true);
            assertEquals("hello E57P03Z", ask(""), "the readiness check fails immediately");
            front.setEvacuating(false);
            assertEquals("hello IZ", ask(""));
            Thread.sleep(600);
            send(kept, m -> query(m, ""));
            assertEquals("IZ", readTypes(kept, 1), "no client was closed meanwhile");
            Consumer<MessageBuilder> answer = answerScript;
            answerScript = m -> {
                sleep(900);
                answer.accept(m);
            };
            send(busy, m -> query(m, WRITE));
            front.setEvacuating(true);
            assertEquals("|", readTypes(idle, 1));
            assertEquals("TDCZ|", readTypes(busy, 2), "the accepted query is answered first");
        }
    }

    /** A client that sends its next command before it has the last answer was never closed; what was read is answered. */
    @Test
    void evacuationClosesAClientThatAlwaysHasCommandsOut() throws Exception {
        Consumer<MessageBuilder> answer = answerScript;
        answerScript = m -> {
            sleep(20);
            answer.accept(m);
        };
        try (Socket client = client()) {
            send(client, PoolerFixture::startup);
            assertEquals("hello ", readTypes(client, 1));
            for (int i = 0; i < 4; i++) {
                send(client, m -> query(m, WRITE));
            }
            front.setEvacuating(true);
            long startNs = System.nanoTime();
            String types = readTypes(client, 1);
            while (types.equals("TDCZ") && System.nanoTime() - startNs < 4_000 * Clock.MS) {
                try {
                    send(client, m -> query(m, WRITE));
                } catch (SocketException e) {
                    break; // the pooler has closed its side long ago, and the socket now
                }
                types = readTypes(client, 1);
            }
            assertTrue(System.nanoTime() - startNs < 4_000 * Clock.MS, "the connection is still open");
            assertTrue(List.of("|", "TDCZ").contains(types), "closed between two answers: " + types);
        }
    }

    /** While another process takes over, both listen on the address; connected clients get an answer and are then closed. */
    @Test
    void aTakeoverRefusesNoClient() throws Exception {
        try (Socket kept = client(); ServerSocket newer = new ServerSocket()) {
            send(kept, m -> {
                startup(m);
                query(m, "");
            });
            assertEquals("hello IZ", readTypes(kept, 2));
            Thread.sleep(200); // idle, well after its answer
            front.handOver();
            List<Socket> late = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                late.add(client());
                send(late.get(i), m -> {
                    startup(m);
                    query(m, "");
                });
            }
            newer.setReuseAddress(true);
            newer.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            newer.bind(config.listen());
            front.stopAccepting();
            for (Socket socket : late) {
                assertEquals("hello IZ|", readTypes(socket, 3), "accepted before the listener closed");
                socket.close();
            }
            send(kept, m -> query(m, ""));
            assertEquals("IZ|", readTypes(kept, 2), "the connection stays open until its next answer");
            newer.setSoTimeout(5_000);
            try (Socket next = client()) {
                newer.accept().close();
            }
        }
    }

    /** Near the cap, clients with one request are closed first; closing returning clients cost a new connection per request. */
    @Test
    void returningClientsAreKeptLongerWhenCrowded() throws Exception {
        List<Socket> kept = new ArrayList<>();
        try {
            for (int i = 0; i < SOCKETS / 4 + 1; i++) {
                Socket client = client();
                kept.add(client);
                send(client, m -> {
                    startup(m);
                    query(m, "");
                });
                assertEquals("hello IZ", readTypes(client, 2));
                if (i == 0) {
                    awaitIdleClient();
                    send(client, m -> query(m, ""));
                    assertEquals("IZ", readTypes(client, 1));
                }
            }
            assertEquals("|", readTypes(kept.get(1), 1), "the oldest client with one request");
            send(kept.get(0), m -> query(m, ""));
            assertEquals("IZ", readTypes(kept.get(0), 1));
        } finally {
            for (Socket socket : kept) {
                socket.close();
            }
        }
    }

    /** The ways in which a client can leave or cancel. */
    private enum Departure {
        CLOSES, RESETS, HALF_CLOSES, CANCELS;

        void apply(PoolerTest test, Socket client, byte[] key) throws IOException {
            switch (this) {
                case CLOSES -> client.close();
                case RESETS -> {
                    client.setSoLinger(true, 0);
                    client.close();
                }
                case HALF_CLOSES -> client.shutdownOutput();
                case CANCELS -> test.cancel(key);
            }
        }
    }

    /** Reads the startup messages; returns the BackendKeyData for a CancelRequest. */
    private static byte[] readCancelKey(Socket client) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        byte[] key = null;
        for (int type = in.read(); type != 'Z'; type = in.read()) {
            byte[] body = in.readNBytes(in.readInt() - 4);
            key = type == 'K' ? body : key;
        }
        in.readNBytes(5);
        return key;
    }

    private void cancel(byte[] key) throws IOException {
        try (Socket other = client()) {
            send(other, m -> m.put(16).put(80_877_102).put(key, 0, 8));
            assertEquals(-1, other.getInputStream().read(), "a CancelRequest is not answered");
        }
    }

    /** Waits until the pooler counts a client as idle, which it does behind the answer. */
    private void awaitIdleClient() {
        for (int i = 0; i < 300 && front.idleClients() == 0; i++) {
            sleep(10);
        }
        assertTrue(front.idleClients() > 0);
    }

    /** Waits until the pooler has noticed that clients have closed their connections. */
    private void awaitOpenClients(int expected) {
        for (int i = 0; i < 300 && front.openClients() != expected; i++) {
            sleep(10);
        }
        assertEquals(expected, front.openClients());
    }

    private void awaitIncrement(Counter counter, long before) {
        for (int i = 0; i < 300 && counters.get(counter) == before; i++) {
            sleep(10);
        }
        assertEquals(before + 1, counters.get(counter), counter.toString());
    }

    /**
     * Once a client has gone, no further attempt begins for its query, whatever it has sent after it. Guards against a reader
     * that stops when its queue is full, misses the end of input and lets the query be retried for a client that is gone.
     */
    @ParameterizedTest
    @EnumSource
    void noAttemptBeginsAfterItsClientHasGone(Departure departure) throws Exception {
        String large = WRITE.replace("\\x9f", "\\x" + "9f".repeat(30_000));
        // a CancelRequest does not cancel queued queries
        for (List<String> behind : departure == Departure.CANCELS ? List.of(List.<String>of())
                : List.of(List.<String>of(), Collections.nCopies(300, WRITE), Collections.nCopies(3, large))) {
            long left = counters.get(Counter.CLIENTS_LEFT);
            CountDownLatch asked = new CountDownLatch(1);
            CountDownLatch gone = new CountDownLatch(1);
            answerScript = m -> {
                asked.countDown();
                while (gone.getCount() > 0) {
                    sleep(5);
                }
                m.error(false, SqlState.TOO_MANY_CONNECTIONS, "full", null).readyForQuery();
            };
            queries.clear();
            try (Socket client = client()) {
                send(client, PoolerTest::startup);
                byte[] key = readCancelKey(client);
                send(client, m -> query(m, WRITE));
                asked.await();
                for (String more : behind) {
                    send(client, m -> query(m, more));
                }
                departure.apply(this, client, key);
                awaitIncrement(Counter.CLIENTS_LEFT, left);
            } finally {
                gone.countDown();
            }
            sleep(100);
            assertEquals(1, queries.size(), "queries behind it: " + behind.size());
        }
    }

    /** The client leaves while the server connection is being opened: the request must not be written any more. */
    @ParameterizedTest
    @EnumSource
    void nothingIsWrittenOnceTheClientHasGoneDuringConnect(Departure departure) throws Exception {
        beforeGreeting = () -> {
            for (int i = 0; i < 20 && counters.get(Counter.CLIENTS_LEFT) == 0; i++) {
                sleep(10);
            }
        };
        try (Socket client = client()) {
            send(client, PoolerTest::startup);
            byte[] key = readCancelKey(client);
            send(client, m -> query(m, WRITE));
            while (counters.get(Counter.ATTEMPTS) == 0) {
                sleep(1);
            }
            departure.apply(this, client, key);
            awaitIncrement(Counter.CLIENTS_LEFT, 0);
        }
        sleep(100);
        assertEquals(List.of(), queries);
    }

    /** A CancelRequest yields one error for the running query and keeps its connection open; a wrong key has no effect. */
    @Test
    void onlyTheMatchingKeyCancelsAQuery() throws Exception {
        Consumer<MessageBuilder> answer = answerScript;
        CountDownLatch asked = new CountDownLatch(1);
        answerScript = m -> {
            asked.countDown();
            sleep(2_000);
            answer.accept(m);
        };
        try (Socket client = client(); Socket other = client()) {
            send(client, PoolerTest::startup);
            byte[] key = readCancelKey(client);
            send(other, PoolerTest::startup);
            assertFalse(Arrays.equals(key, readCancelKey(other)), "each session has its own key");
            cancel(key); // no query is running: must not affect the next one
            send(client, m -> query(m, WRITE));
            asked.await();
            byte[] guess = key.clone();
            guess[7]++;
            cancel(guess);
            sleep(100);
            assertEquals(0, counters.get(Counter.QUERIES_CANCELED));
            answerScript = answer;
            cancel(key);
            cancel(key);
            assertEquals("E57014Z", readTypes(client, 1));
            send(client, m -> query(m, WRITE));
            assertEquals("TDCZ", readTypes(client, 1));
            assertEquals(1, counters.get(Counter.QUERIES_CANCELED));
            assertEquals(2, queries.size(), "the cancelled query is not retried");
        }
    }

    /** How a copy of an open request differs from it, or what has become of its client. */
    private enum Copy { SAME_STATEMENT, OTHER_KEY, OTHER_CLASS, PIPELINED, CLIENT_CLOSED, CLIENT_RESET, CLIENT_CANCELLED }

    /**
     * The id of an open request, or of one that may still run, comes again. Guards against serving the copy, and against running
     * a write twice.
     */
    @ParameterizedTest
    @EnumSource
    void aCopyOfAnOpenRequestIsRefused(Copy copy) throws Exception {
        for (boolean write : List.of(true, false)) {
            String id = "a" + LAST_ID.incrementAndGet();
            String original = write ? WRITE.replace("id=9b,", "id=" + id + ",") : read(id, "7f", "my-quotes");
            CountDownLatch asked = new CountDownLatch(1);
            CountDownLatch go = new CountDownLatch(1);
            answerScript = m -> {
                asked.countDown();
                while (go.getCount() > 0) {
                    sleep(5);
                }
                AnswerTest.result(m, "v").readyForQuery();
            };
            queries.clear();
            try (Socket client = client()) {
                send(client, PoolerTest::startup);
                byte[] key = readCancelKey(client);
                send(client, m -> query(m, original));
                asked.await();
                long left = counters.get(Counter.CLIENTS_LEFT);
                switch (copy) {
                    case PIPELINED -> send(client, m -> query(m, original));
                    case CLIENT_CLOSED -> Departure.CLOSES.apply(this, client, key);
                    case CLIENT_RESET -> Departure.RESETS.apply(this, client, key);
                    case CLIENT_CANCELLED -> Departure.CANCELS.apply(this, client, key);
                    case OTHER_KEY -> assertEquals("hello E22023Z", ask(original.replace("'7f'", "'80'")));
                    case OTHER_CLASS -> assertEquals("hello E22023Z", ask(read(id, "7f", "history")));
                    default -> { }
                }
                boolean clientLeft = copy.name().startsWith("CLIENT");
                if (clientLeft) {
                    awaitIncrement(Counter.CLIENTS_LEFT, left);
                }
                assertEquals("hello E22023Z", ask(original));
                go.countDown();
                if (!clientLeft) {
                    String answers = copy == Copy.PIPELINED ? "TDCZE22023Z" : "TDCZ";
                    assertEquals(answers, readTypes(client, copy == Copy.PIPELINED ? 2 : 1));
                }
                assertEquals("hello E22023Z", ask(original), "after the answer");
            }
            assertEquals(1, queries.size());
        }
        assertTrue(counters.get(Counter.IDS_REUSED) >= 4);
    }

    /** Guards against a copy that takes the place of a request that waits behind another one on its connection. */
    @Test
    void aCopyOfAQueuedRequestIsRefused() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        answerScript = m -> {
            asked.countDown();
            while (go.getCount() > 0) {
                sleep(5);
            }
            AnswerTest.result(m, "v").readyForQuery();
        };
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, WRITE);
                query(m, WRITE.replace("id=9b,", "id=queued,"));
            });
            asked.await();
            awaitId("queued", true);
            assertEquals("hello E22023Z", ask(WRITE.replace("id=9b,", "id=queued,")));
            go.countDown();
            assertEquals("hello TDCZTDCZ", readTypes(client, 3));
        }
        assertEquals(2, queries.size());
    }

    /** A request that certainly never ran gives its id back: a driver may send the statement again as it was. */
    @Test
    void theIdOfARequestThatNeverRanIsFree() throws Exception {
        Consumer<MessageBuilder> answer = answerScript;
        answerScript = m -> m.error(false, SqlState.TOO_MANY_CONNECTIONS, "full", null).readyForQuery();
        String write = WRITE.replace("id=9b,", "id=again,").replace("d=3000", "d=1000");
        assertEquals("hello E53300Z", ask(write));
        assertEquals("hello E22023Z", ask(write.replace("cluster=2", "cluster=9")));
        answerScript = answer;
        awaitId("again", false);
        assertEquals("hello TDCZ", ask(write));
        assertEquals(0, counters.get(Counter.IDS_REUSED));
    }

    /** Reads all data up to an orderly close; after a reset, unread data is lost and the read fails. */
    private static String readToEnd(Socket client) throws IOException {
        return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Guards against closing with unread input, which resets the connection and loses the last answer. */
    @Test
    void theLastAnswerArrivesDespiteUnreadInput() throws Exception {
        byte[] noise = new byte[MIB];
        for (Consumer<MessageBuilder> invalidMessage : List.<Consumer<MessageBuilder>>of(m -> m.put('Q').put(1 << 30), m -> m.put('Q').put(-7),
                m -> m.begin('P').put("extended").end(), m -> m.put('X').put(4))) {
            try (Socket client = client()) {
                send(client, m -> {
                    startup(m);
                    query(m, WRITE);
                    invalidMessage.accept(m);
                });
                client.getOutputStream().write(noise, 0, 100_000);
                String received = readToEnd(client);
                assertTrue(received.contains("SELECT 1"), received);
            }
        }
        while (front.openClients() > 0) {
            sleep(1); // closed clients count towards the cap until the pooler notices
        }
        List<Socket> all = new ArrayList<>();
        try {
            for (int i = 0; i < SOCKETS / 2; i++) {
                all.add(client());
                send(all.get(i), m -> {
                    startup(m);
                    query(m, "");
                });
                assertEquals("hello IZ", readTypes(all.get(i), 2));
                send(all.get(i), m -> query(m, "")); // returning clients are not closed first
                assertEquals("IZ", readTypes(all.get(i), 1));
            }
            try (Socket late = client()) {
                send(late, m -> {
                    startup(m);
                    query(m, WRITE);
                });
                assertTrue(readToEnd(late).contains("53300"), "rejected with an error message");
            }
        } finally {
            for (Socket socket : all) {
                socket.close();
            }
        }
    }

    /** Guards against a reset discarding the data that is still in the kernel's send buffer when the connection is closed. */
    @Test
    void anAnswerInFlightSurvivesTheClose() throws Exception {
        String value = "v".repeat(30_000);
        answerScript = m -> AnswerTest.result(m, value).readyForQuery();
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(4_096);
            client.connect(config.listen());
            send(client, m -> {
                startup(m);
                query(m, WRITE);
                m.begin('P').put("extended").end();
            });
            client.getOutputStream().write(new byte[100_000]);
            awaitIncrement(Counter.BAD_INPUT, 0);
            sleep(50); // the close has begun
            String received = readToEnd(client);
            assertTrue(received.contains(value) && received.contains("0A000"), received.length() + " bytes received");
        }
    }

    /** Guards against forwarding a request that arrives after the connection began to close, since it could not be answered. */
    @Test
    void inputAfterTheCloseIsNeverForwarded() throws Exception {
        try (Socket idle = client()) {
            send(idle, m -> {
                startup(m);
                query(m, "");
            });
            assertEquals("hello IZ", readTypes(idle, 2));
            front.closeWhenIdle();
            assertEquals(-1, idle.getInputStream().read(), "the connection is closed immediately");
            send(idle, m -> query(m, WRITE));
            awaitIncrement(Counter.CLIENTS_CLOSED, 0);
            assertEquals(0, front.openClients());
            assertEquals(List.of(), queries);
        }
    }
}
