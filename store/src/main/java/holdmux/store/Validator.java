package holdmux.store;

import holdmux.config.ConfigException;
import java.nio.charset.StandardCharsets;

/** Checks a policy's text against a schema and limits; every member runs the same before it accepts. */
@FunctionalInterface
public interface Validator {
    /** Empty when the text may be put in force, else the first problem, in the operator's words. */
    String problem(String text);

    /** The pooler's own: what {@code serve} would take up. */
    Validator POLICY = text -> {
        if (text.getBytes(StandardCharsets.UTF_8).length > PolicyVersion.MAX_BYTES) {
            return "over " + PolicyVersion.MAX_BYTES + " bytes";
        }
        try {
            PolicyText.read(text);
            return "";
        } catch (ConfigException e) {
            return e.getMessage();
        }
    };
}
