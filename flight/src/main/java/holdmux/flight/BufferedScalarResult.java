package holdmux.flight;

import holdmux.core.ScalarResult;
import java.io.IOException;
import java.io.OutputStream;

/** A value that was read whole from a table; {@code bytes} is null for null. */
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
        // holds nothing of anybody's
    }
}
