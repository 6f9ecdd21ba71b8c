package holdmux.management;

import java.io.IOException;
import java.util.function.UnaryOperator;

/** Keeps what the operators have ordered; today one file on this machine, in time a replicated store. */
public interface OperatorState {
    /** What is in force; as it was at the last read or change. */
    Orders orders();

    /** Reads again what is kept, which another process of this pooler may have changed. */
    Orders refresh();

    /** Changes the orders as kept now; returns once the change is kept, and throws with nothing changed. */
    Orders change(UnaryOperator<Orders> update) throws IOException;
}
