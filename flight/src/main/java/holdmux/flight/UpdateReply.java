package holdmux.flight;

import holdmux.core.Client;
import holdmux.core.Updated;
import holdmux.core.Value;
import io.grpc.stub.ServerCallStreamObserver;
import java.io.IOException;
import org.apache.arrow.flight.impl.Flight.PutResult;
import org.apache.arrow.flight.sql.impl.FlightSql.DoPutUpdateResult;

/** The client's side of one request that is put (DoPut): how many rows it touched, or a status. */
final class UpdateReply implements Client {
    private final ServerCallStreamObserver<PutResult> out;
    private final Ipc ipc;

    UpdateReply(ServerCallStreamObserver<PutResult> out, Ipc ipc) {
        this.out = out;
        this.ipc = ipc;
    }

    @Override
    public Value.Form form() {
        return Value.Form.TABLE;
    }

    @Override
    public void serve(Value value) throws IOException {
        long rows;
        try {
            rows = value instanceof Updated updated ? updated.rows()
                    : value instanceof Table table ? ipc.rows(table.frames()) : 1;
        } catch (IOException e) {
            out.onError(Statuses.failed("the answer cannot be read; the request has run"));
            throw e;
        }
        out.onNext(PutResult.newBuilder()
                .setAppMetadata(DoPutUpdateResult.newBuilder().setRecordCount(rows).build().toByteString()).build());
        out.onCompleted();
    }

    @Override
    public void refuse(long waitNs) {
        out.onError(Statuses.refused("no server can take this in time", waitNs));
    }

    @Override
    public void fail() {
        out.onError(Statuses.failed("no answer came in time; the request may have run"));
    }
}
