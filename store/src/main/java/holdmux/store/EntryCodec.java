package holdmux.store;

import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Checked;
import holdmux.store.Entry.Propose;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * Encodes log entries as one JSON object in UTF-8: {@code {"propose":{number,basedOn,text,sha256,by}}},
 * {@code {"activate":{number,delayNs,by,quorum}}} or {@code {"checked":{number,member,problem}}}. JSON lets an operator
 * read an entry in the log file directly.
 */
public final class EntryCodec {
    /** A full version text, which JSON escaping may double, plus its other fields; longer input is rejected unparsed. */
    public static final int MAX_BYTES = 2 * PolicyVersion.MAX_BYTES + 16_384;
    /** Maximum length of an operator's or a member's name, in characters. */
    static final int MAX_NAME_LENGTH = 200;
    /** Maximum length of a problem message, in characters; longer ones are truncated. */
    static final int MAX_PROBLEM_LENGTH = 1_000;

    private EntryCodec() {}

    /** Encodes an entry for the log. */
    public static byte[] encode(Entry entry) {
        JSONObject object = new JSONObject();
        if (entry instanceof Propose propose) {
            PolicyVersion v = propose.version();
            object.put("propose", new JSONObject().put("number", v.number()).put("basedOn", v.basedOn())
                    .put("text", v.text()).put("sha256", v.sha256()).put("by", v.by()));
        } else if (entry instanceof Activate a) {
            object.put("activate", new JSONObject().put("number", a.number()).put("delayNs", a.delayNs())
                    .put("by", a.by()).put("quorum", a.quorum()));
        } else if (entry instanceof Checked c) {
            String problem = c.problem().substring(0, Math.min(MAX_PROBLEM_LENGTH, c.problem().length()));
            object.put("checked", new JSONObject().put("number", c.number()).put("member", c.member())
                    .put("problem", problem));
        }
        return object.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes an entry.
     *
     * @throws IllegalArgumentException if there are more than {@link #MAX_BYTES} bytes, they are not such an object, or a
     *                                  name has more than 200 characters
     */
    public static Entry decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            throw new IllegalArgumentException("entry has " + bytes.length + " bytes, the limit is " + MAX_BYTES);
        }
        try {
            JSONObject object = new JSONObject(new String(bytes, StandardCharsets.UTF_8));
            if (object.length() != 1) {
                throw new IllegalArgumentException("an entry must have exactly one of the keys propose, activate and checked");
            }
            if (object.has("propose")) {
                JSONObject v = object.getJSONObject("propose");
                return new Propose(new PolicyVersion(v.getLong("number"), v.getLong("basedOn"), v.getString("text"),
                        v.getString("sha256"), readName(v, "by")));
            }
            if (object.has("checked")) {
                JSONObject c = object.getJSONObject("checked");
                return new Checked(c.getLong("number"), readName(c, "member"), c.getString("problem"));
            }
            JSONObject a = object.getJSONObject("activate");
            return new Activate(a.getLong("number"), a.getLong("delayNs"), readName(a, "by"), a.getInt("quorum"));
        } catch (JSONException e) {
            throw new IllegalArgumentException("invalid store entry: " + e.getMessage(), e);
        }
    }

    private static String readName(JSONObject object, String key) {
        String name = object.getString(key);
        if (name.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException(key + " has " + name.length() + " characters, the limit is " + MAX_NAME_LENGTH);
        }
        return name;
    }
}
