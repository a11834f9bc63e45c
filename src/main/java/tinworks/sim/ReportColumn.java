package tinworks.sim;

import tinworks.policy.LoadBalancerApi.LoadReport;

/** A column of a load report, one for each value, in the order of {@link LoadReport}'s fields. */
enum ReportColumn {
    TPS,
    LOAD_SHARE,
    ERR_PS,
    CONCURRENT,
    DEPTH,
    MEAN_MS;

    /** The column of a name on the wire, or null for one that the module has no use for. */
    static ReportColumn named(String wireName) {
        for (ReportColumn column : values()) {
            if (column.name().equalsIgnoreCase(wireName)) {
                return column;
            }
        }
        return null;
    }
}
