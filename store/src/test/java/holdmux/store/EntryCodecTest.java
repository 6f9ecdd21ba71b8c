package holdmux.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Entries survive the log whole, and what is not an entry is refused with a word, unread where it is too long. */
class EntryCodecTest {
    @Test
    void entriesComeBackAsTheyWent() {
        Entry propose = new Propose(PolicyVersion.of(3, 2, PolicyHistoryTest.settings(), "ana"));
        Entry activate = new Activate(3, 1_500_000_000L, "ana");
        assertEquals(propose, EntryCodec.decode(EntryCodec.encode(propose)));
        assertEquals(activate, EntryCodec.decode(EntryCodec.encode(activate)));
    }

    @Test
    void whatIsNotAnEntryIsRefused() {
        for (String text : new String[] {"", "[]", "{}", "{\"activate\":{\"number\":1}}",
            "{\"propose\":{},\"activate\":{}}", "{\"activate\":{\"number\":1,\"delayNs\":0,\"by\":\"" + "x".repeat(201)
                + "\"}}"}) {
            assertThrows(IllegalArgumentException.class, () -> EntryCodec.decode(text.getBytes(StandardCharsets.UTF_8)),
                    text);
        }
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class,
                () -> EntryCodec.decode(new byte[EntryCodec.MOST_BYTES + 1]));
        assertTrue(e.getMessage().contains("over"), e.getMessage());
    }
}
