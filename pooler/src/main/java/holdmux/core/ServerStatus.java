package holdmux.core;

import holdmux.config.Deployment;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import java.util.List;

/** What a server tells of itself beside an answer, under the same names in every protocol. */
public final class ServerStatus {
    /** The names: {@code primary} or {@code standby}; Unix milliseconds; the fields of a load report. */
    public static final String ROLE = "replication_role", POSITION = "log_position", REPORT = "pressure";
    private static final int UNKNOWN_FIELD = -1;

    /** How it is to be read: the fields of reports, and where positions in reports count from. */
    public record ReportFormat(List<String> reportFields, long epochNs) {
        public static ReportFormat of(Deployment deployment) {
            return new ReportFormat(deployment.reportFields(), deployment.settings().zeroNs());
        }
    }

    private final List<String> reportFields;
    private final long epochNs;
    private Role role = Role.UNKNOWN;
    private long positionNs;
    private float[] report = Reply.NO_REPORT;

    public ServerStatus(ReportFormat format) {
        reportFields = format.reportFields();
        epochNs = format.epochNs();
    }

    /** Takes in one value; a name that is not known tells nothing, nor does a value that cannot be read. */
    public void put(String name, String value) {
        switch (name) {
            case ROLE -> role = value.equals("primary") ? Role.PRIMARY
                    : value.equals("standby") ? Role.REPLICA : Role.UNKNOWN;
            case POSITION -> positionNs = positionNs(value);
            case REPORT -> report = report(value);
            default -> { }
        }
    }

    /** Whether a load report was told. */
    public boolean hasReport() {
        return report.length > 0;
    }

    /** An outcome with what was told beside it. */
    public Reply toReply(Outcome outcome) {
        return new Reply(outcome, role, positionNs, report);
    }

    private static long positionNs(String value) {
        try {
            long ms = Long.parseLong(value);
            return ms > 0 && ms < Long.MAX_VALUE / Clock.MS ? ms * Clock.MS : 0;
        } catch (NumberFormatException e) {
            return 0; // a position that cannot be read is one that was not told
        }
    }

    /** Values in the order of the settings' fields; a report that lacks one or cannot be read was not told. */
    private float[] report(String value) {
        float[] values = new float[reportFields.size()];
        int found = 0;
        for (String pair : value.split(",")) {
            int equals = pair.indexOf('=');
            int field = equals < 0 ? UNKNOWN_FIELD : field(pair.substring(0, equals).strip());
            if (field >= 0) {
                try {
                    double figure = Double.parseDouble(pair.substring(equals + 1));
                    if (!Double.isFinite(figure) || figure < 0) {
                        return Reply.NO_REPORT;
                    }
                    values[field] = (float) (reportFields.get(field).equals("x0") ? figure - epochNs / 1e9 : figure);
                    found++;
                } catch (NumberFormatException e) {
                    return Reply.NO_REPORT;
                }
            }
        }
        return found == values.length ? values : Reply.NO_REPORT;
    }

    /** The settings have names of their own for two of the fields that a report carries. */
    private int field(String name) {
        return reportFields.indexOf(switch (name) {
            case "inflight" -> "outstanding";
            case "util" -> "utilization";
            default -> name;
        });
    }
}
