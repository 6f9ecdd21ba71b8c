package holdmux.store;

import holdmux.config.ConfigException;
import holdmux.config.SettingsReader;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/** Checks a policy's text against a schema and limits; every member runs the same before it accepts. */
@FunctionalInterface
public interface Validator {
    /** Empty when the text may be put in force, else the first problem, in the operator's words. */
    String problem(String text);

    /** The pooler's own: what {@code serve} would take up from the {@code settings} object of its file. */
    Validator SETTINGS = text -> {
        if (text.getBytes(StandardCharsets.UTF_8).length > PolicyVersion.MOST_BYTES) {
            return "over " + PolicyVersion.MOST_BYTES + " bytes";
        }
        try {
            SettingsReader.check(new JSONObject(text));
            return "";
        } catch (JSONException | ConfigException e) {
            return e.getMessage();
        }
    };
}
