package holdmux.core;

import holdmux.config.Deployment;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import java.util.List;

/** The status that a server reports along with an answer, under the same names in every protocol. */
public final class ServerStatus {
    /** Names of the values: the role ({@code primary} or {@code standby}), the position (Unix milliseconds), the load report. */
    public static final String ROLE = "replication_role", POSITION = "log_position", REPORT = "pressure";
    private static final int UNKNOWN_FIELD = -1;

    /** The fields of load reports, and the epoch that positions in load reports count from. */
    public record ReportFormat(List<String> reportFields, long epochNs) {
        /** Returns the format that a deployment defines. */
        public static ReportFormat of(Deployment deployment) {
            return new ReportFormat(deployment.reportFields(), deployment.settings().zeroNs());
        }
    }

    private final List<String> reportFields;
    private final long epochNs;
    private Role role = Role.UNKNOWN;
    private long positionNs;
    private float[] report = Reply.NO_REPORT;

    /** Creates a status without any value. */
    public ServerStatus(ReportFormat format) {
        reportFields = format.reportFields();
        epochNs = format.epochNs();
    }

    /** Sets one value; unknown names are ignored, and a value that cannot be parsed counts as not reported. */
    public void put(String name, String value) {
        switch (name) {
            case ROLE -> role = value.equals("primary") ? Role.PRIMARY
                    : value.equals("standby") ? Role.REPLICA : Role.UNKNOWN;
            case POSITION -> positionNs = parsePosition(value);
            case REPORT -> report = parseReport(value);
            default -> { }
        }
    }

    /** Whether a load report was received. */
    public boolean hasReport() {
        return report.length > 0;
    }

    /** Returns a reply with this outcome and the status received. */
    public Reply toReply(Outcome outcome) {
        return new Reply(outcome, role, positionNs, report);
    }

    private static long parsePosition(String value) {
        try {
            long ms = Long.parseLong(value);
            return ms > 0 && ms < Long.MAX_VALUE / Clock.MS ? ms * Clock.MS : 0;
        } catch (NumberFormatException e) {
            return 0; // counts as not reported
        }
    }

    /** Parses a report into the order of the settings' fields; one that lacks a field or cannot be parsed counts as absent. */
    private float[] parseReport(String value) {
        float[] values = new float[reportFields.size()];
        int found = 0;
        for (String pair : value.split(",")) {
            int equals = pair.indexOf('=');
            int field = equals < 0 ? UNKNOWN_FIELD : indexOf(pair.substring(0, equals).strip());
            if (field >= 0) {
                try {
                    double number = Double.parseDouble(pair.substring(equals + 1));
                    if (!Double.isFinite(number) || number < 0) {
                        return Reply.NO_REPORT;
                    }
                    values[field] = (float) (reportFields.get(field).equals("x0") ? number - epochNs / 1e9 : number);
                    found++;
                } catch (NumberFormatException e) {
                    return Reply.NO_REPORT;
                }
            }
        }
        return found == values.length ? values : Reply.NO_REPORT;
    }

    /** Returns the index of a field, or {@link #UNKNOWN_FIELD}. The settings use other names for two of the reported fields. */
    private int indexOf(String name) {
        return reportFields.indexOf(switch (name) {
            case "inflight" -> "outstanding";
            case "util" -> "utilization";
            default -> name;
        });
    }
}
