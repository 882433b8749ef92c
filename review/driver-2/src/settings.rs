//! Settings objects of small deployments, within the ranges of the site files.

/// Returns the configuration keys `limits` and `settings` of `statements-sofia` with two aggregators and so many cells.
pub fn sofia(cells: usize, memory_mb: u64, sockets: usize) -> String {
    let shards = cells * 2;
    format!(
        r#""limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"settings":{{
"balancers":2,"discovery":"automatic","tick_ms":5.0,"zone":"sofia-mladost","failure_domains":["sofia-mladost"],
"caps":{{"connect_timeout_ms":250.0,"keepalive_ms":15000.0,"max_attempts":3,"max_open":185,"max_retry_after_ms":2000.0,
"may_cancel":true,"parallel_tries":false,"probes":true,"retry_after":true,"streams_per_conn":32}},
"domain":{{"bundle_max":16,"cells":{cells},"class_fetch":[0,0,0],"complete_from":[1.0,1.0,1.0],"least_share":[0.8,1.0,1.0],
"overhead_ms":37.0,"partial_earns":[0.8,0.8,0.8],"shards":{shards},"warm_keys":true,"width":3}},
"over_share_worth":0.05,"worth_by":"work",
"realms":[{{"name":"obedinen","quota_per_s":30.0,"share":0.46}},{{"name":"zora","quota_per_s":18.0,"share":0.28}},
{{"name":"balkan-renta","quota_per_s":12.0,"share":0.19}},{{"name":"dobrudzha","quota_per_s":5.0,"share":0.07}}],
"report":{{"fields":["outstanding","recent_ms"],"how":"on_probe"}},
"request_classes":[
{{"aim_ms":1200.0,"deadline_ms":3000.0,"group":"all","late_worth":0.3,"name":"employer-report","repeat":"read_like","streamed":false,"value":5.0,"window_ms":1200.0}},
{{"aim_ms":1000.0,"deadline_ms":2500.0,"group":"all","late_worth":0.3,"name":"statement-view","repeat":"read_like","streamed":false,"value":1.0,"window_ms":1200.0}},
{{"aim_ms":1000.0,"deadline_ms":2500.0,"group":"all","late_worth":0.1,"name":"paper-request","repeat":"idempotency_key","streamed":false,"value":1.0,"window_ms":1200.0}}],
"rules":{{"answer_slack_ms":20.0,"cold_from":0.2,"fall_multiple":3.0,"overload_for_ms":3000.0,"stop_sending_within_ms":250.0,"warm_within_ms":15000.0}}}}"#
    )
}
