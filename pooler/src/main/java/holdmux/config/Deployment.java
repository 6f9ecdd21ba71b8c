package holdmux.config;

import holdmux.decision.SplitterApi.Settings;
import java.util.List;

/**
 * What the pooler is told of its deployment: the module's settings and, in the order of their indices, the names
 * that stand for classes, zones, machine kinds and load report fields on the sockets.
 */
public record Deployment(Settings settings, List<String> classes, List<String> zones, List<String> kinds,
        List<String> reportFields, long connIdleNs, long connectTimeoutNs) {}
