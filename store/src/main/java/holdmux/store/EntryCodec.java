package holdmux.store;

import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Checked;
import holdmux.store.Entry.Propose;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * Entries as the log keeps them: one JSON object in UTF-8, {@code {"propose":{number,basedOn,text,sha256,by}}},
 * {@code {"activate":{number,delayNs,by,quorum}}} or {@code {"checked":{number,member,problem}}}. JSON so that an operator can read a log entry as it stands.
 */
public final class EntryCodec {
    /** A whole version, whose quotes JSON escapes, and its figures; anything longer is refused unread. */
    public static final int MAX_BYTES = 2 * PolicyVersion.MAX_BYTES + 16_384;
    /** Who proposed or asked: a name, not a text. */
    static final int MAX_NAME_LENGTH = 200;
    /** The first problem of a version in words; the rest of a long one helps nobody. */
    static final int MAX_PROBLEM_LENGTH = 1_000;

    private EntryCodec() {}

    /** The entry as bytes of the log. */
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
     * The entry that the bytes hold.
     *
     * @throws IllegalArgumentException for more than {@link #MAX_BYTES}, bytes that are not such an object, or a
     *                                  name of more than 200 characters
     */
    public static Entry decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            throw new IllegalArgumentException("an entry of " + bytes.length + " bytes, over " + MAX_BYTES);
        }
        try {
            JSONObject object = new JSONObject(new String(bytes, StandardCharsets.UTF_8));
            if (object.length() != 1) {
                throw new IllegalArgumentException("an entry is one of propose, activate or checked");
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
            throw new IllegalArgumentException("not an entry of the store: " + e.getMessage(), e);
        }
    }

    private static String readName(JSONObject object, String key) {
        String name = object.getString(key);
        if (name.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("a name of " + name.length() + " characters, over " + MAX_NAME_LENGTH);
        }
        return name;
    }
}
