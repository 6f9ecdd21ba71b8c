package holdmux.store;

import holdmux.config.ConfigException;
import java.nio.charset.StandardCharsets;

/** Validates a policy's text against a schema and limits; every member runs it on each new version. */
@FunctionalInterface
public interface Validator {
    /** Empty if the text may be put in force, otherwise the first problem, worded for the operator. */
    String problem(String text);

    /** The pooler's validator, which accepts what {@code serve} can load. */
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
