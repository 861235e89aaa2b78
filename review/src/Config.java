/** Configurations of a small deployment, as the operators write them. */
final class Config {
    static final String KEY = "k7f3a91c2demo";

    private Config() {}

    /** A configuration with a route for orders and one for stock, and [more] routes besides. */
    static String plain(long version, int more) {
        StringBuilder routes = new StringBuilder(route("r-orders", "/orders/", "non_idempotent", 10_000));
        routes.append(',').append(route("r-stock", "/stock/", "idempotent", 10_000));
        for (int i = 0; i < more; i++) routes.append(',').append(route("r-idle-" + i, "/idle" + i + "/", "idempotent", 10_000));
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"orders\","
            + "\"health_path\":\"/health\",\"max_connections\":105,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    /** A configuration with one service of model workers, whose model takes groups of two. */
    static String model(long version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-chat\",\"host\":\"shop.example\",\"prefix\":\"/chat/\","
            + "\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"lm\","
            + "\"max_attempts\":2,\"anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,\"gap_target_ms\":250}],"
            + "\"services\":[{\"name\":\"lm\",\"health_path\":\"/health\",\"max_connections\":823,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":18,\"kv_capacity_tokens\":1710000,\"kv_token_bytes\":50752,\"link_mbps\":400000.0,\"stride\":6,"
            + "\"models\":[{\"name\":\"m0\",\"size\":2,\"share\":1.0,\"pace\":1.0,\"load_s\":1.5,\"warm_s\":0.5}],\"step_ms\":6.45,"
            + "\"per_seq_ms\":0.14,\"context_per_k\":0.004,\"read_per_s\":56100.0,\"pairs_per_m\":0.309,\"chunk\":2048,"
            + "\"report_lag_ms\":200.0,\"loads_per_s\":5.5,\"loads_at_once\":8,\"delays\":[],\"usual\":{\"prompt\":1115,"
            + "\"answer\":152},\"retained\":1,\"far_x\":4.0,\"form_ms\":300.0}}],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\","
            + "\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    private static String route(String name, String prefix, String kind, long timeoutMs) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":1000,\"priority\":2,\"service\":\"orders\","
            + "\"max_attempts\":2,\"anonymous\":false}";
    }
}
