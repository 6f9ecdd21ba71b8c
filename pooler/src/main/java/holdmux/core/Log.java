package holdmux.core;

/** The program's log: one line an event on standard error. docs/oncall.md lists the lines. */
public final class Log {
    private Log() {}

    public static void info(String words) {
        System.err.println("info " + words);
    }

    public static void warn(String words) {
        System.err.println("warn " + words);
    }

    public static void error(String words, Throwable cause) {
        try {
            StackTraceElement[] trace = cause.getStackTrace();
            System.err.println("error " + words + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
        } catch (OutOfMemoryError e) {
            // whoever logs a fault goes on; there is no room for its line
        }
    }
}
