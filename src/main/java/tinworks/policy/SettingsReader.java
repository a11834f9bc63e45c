package tinworks.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.PolicyParameters;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.LoadBalancerApi.Tenant;

/**
 * Reads the settings of a load balancer from pairs of path and value as the simulator sends them, such as
 * {@code grades.0.name} for the name of the first request class. A real gateway flattens its configuration into the
 * same form. Unknown keys are ignored. A missing or malformed value throws an {@link IllegalArgumentException} that
 * names the key.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    /** Creates a reader of these pairs. */
    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Reads all settings of the load balancer. */
    public Settings read() {
        return new Settings(
                (int) number("group_size"),
                (int) number("my_number"),
                text("zone", ""),
                text("discovery").equals("subscribe"),
                number("resolution_ns"),
                classes(),
                tenants(),
                decimal("over_share_worth", 1),
                permissions(),
                parameters());
    }

    /** Reads a mandatory integer. */
    public long number(String name) {
        String value = text(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is not a whole number: '" + value + "'", e);
        }
    }

    private List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        long count = number("grades.count");
        for (int i = 0; i < count; i++) {
            String prefix = "grades." + i + ".";
            classes.add(new RequestClass(
                    text(prefix + "name"),
                    idempotency(prefix),
                    dedupScope(prefix),
                    number(prefix + "window_ns", 0),
                    number(prefix + "aim_ns"),
                    number(prefix + "deadline_ns"),
                    decimal(prefix + "value", 1),
                    decimal(prefix + "late_worth", 0),
                    flag(prefix + "stream", false)));
        }
        return classes;
    }

    private Idempotency idempotency(String prefix) {
        String value = text(prefix + "semantics");
        return switch (value) {
            case "safe" -> Idempotency.SAFE;
            case "keyed" -> Idempotency.KEYED;
            case "unsafe" -> Idempotency.UNSAFE;
            default -> throw new IllegalArgumentException("unknown semantics '" + value + "'");
        };
    }

    private DedupScope dedupScope(String prefix) {
        String value = text(prefix + "dedup_scope", "all");
        return switch (value) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            case "cell" -> DedupScope.CELL;
            default -> throw new IllegalArgumentException("unknown dedup_scope '" + value + "'");
        };
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        long count = number("accounts.count", 0);
        for (int i = 0; i < count; i++) {
            tenants.add(new Tenant(
                    text("accounts." + i + ".name"),
                    decimal("accounts." + i + ".quota_per_s", Double.POSITIVE_INFINITY)));
        }
        return tenants;
    }

    private Permissions permissions() {
        return new Permissions(
                (int) number("allowed.max_attempts", 1),
                flag("allowed.may_cancel", false),
                flag("allowed.peers", false));
    }

    private PolicyParameters parameters() {
        return new PolicyParameters(
                number("obligations.answer_slack_ns", 0),
                number("obligations.drain_grace_ns"),
                number("obligations.ask_within_ns", Long.MAX_VALUE),
                decimal("obligations.cold_from", 1),
                number("obligations.warm_up_ns", 0),
                decimal("obligations.overload_factor", 1),
                number("obligations.overload_for_ns", 1));
    }

    private String text(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new IllegalArgumentException("the settings lack " + name);
        }
        return value;
    }

    private String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    private long number(String name, long defaultValue) {
        return values.containsKey(name) ? number(name) : defaultValue;
    }

    private double decimal(String name, double defaultValue) {
        String value = values.get(name);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is not a number: '" + value + "'", e);
        }
    }

    private boolean flag(String name, boolean defaultValue) {
        String value = text(name, defaultValue ? "true" : "false");
        return value.equals("true") || value.equals("1");
    }
}
