package holdmux.flight;

import holdmux.core.ScalarResult;
import java.io.IOException;
import java.io.OutputStream;

/** A single value that was read from a table into memory; {@code bytes} is null for SQL NULL. */
record BufferedScalarResult(String column, byte[] bytes) implements ScalarResult {
    @Override
    public int length() {
        return bytes == null ? NULL : bytes.length;
    }

    @Override
    public void writeTo(OutputStream out) throws IOException {
        if (bytes != null) {
            out.write(bytes);
        }
    }

    @Override
    public void close() {
        // holds no shared resources
    }
}
