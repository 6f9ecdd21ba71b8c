package holdmux.config;

import holdmux.decision.SplitterApi.Settings;
import java.util.List;

/**
 * The settings of a deployment: those of the decision module, the connection time-outs and, in the order of the indices that the
 * module uses, the names of request classes, zones, machine kinds and load report fields.
 */
public record Deployment(Settings settings, List<String> classes, List<String> zones, List<String> kinds,
        List<String> reportFields, long connIdleNs, long connectTimeoutNs) {}
