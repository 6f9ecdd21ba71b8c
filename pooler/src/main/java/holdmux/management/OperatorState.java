package holdmux.management;

import java.io.IOException;
import java.util.function.UnaryOperator;

/** Stores the operators' orders. The interface allows a replicated store in place of the file on this machine. */
public interface OperatorState {
    /** The orders as of the last read or change. */
    Orders orders();

    /** Reads the stored orders again; another process of this pooler may have changed them. */
    Orders refresh();

    /** Updates the orders currently stored, and returns the result once it is stored; if this throws, nothing has changed. */
    Orders change(UnaryOperator<Orders> update) throws IOException;
}
