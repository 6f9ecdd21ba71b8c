package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.core.Counters.Counter;
import holdmux.core.IdPeer;
import holdmux.core.RequestId;
import holdmux.core.RequestIds.Verdict;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what becomes of newcomers when connections run short. */
@Timeout(20)
class CrowdedTest extends PoolerFixture {
    /** Guards against closing a connection whose query was read but is not queued yet: it ended with no answer. */
    @Test
    void aQueryThatWasReadIsAnsweredWhenConnectionsRunShort() throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        CountDownLatch mayBeQueued = new CountDownLatch(1);
        balancer.ids().setPeer(new IdPeer() {
            @Override
            public Verdict confirm(RequestId id, boolean repeatable) {
                read.countDown(); // the query was read to its end
                try {
                    mayBeQueued.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                return Verdict.GRANTED;
            }

            @Override
            public void released(RequestId id) { }
        });
        List<Socket> silent = new ArrayList<>();
        try (Socket newcomer = client()) {
            send(newcomer, m -> {
                startup(m);
                query(m, WRITE);
            });
            read.await();
            for (int i = 0; i < SOCKETS; i++) {
                silent.add(client());
            }
            for (int i = 0; i < 300 && counters.get(Counter.CLIENTS_ACCEPTED) < SOCKETS; i++) {
                sleep(1);
            }
            mayBeQueued.countDown();
            assertEquals("hello TDCZ", readTypes(newcomer, 2));
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }
}
