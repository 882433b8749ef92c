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

/// Returns the configuration keys `limits` and `settings` of `deploy/operator.json` with so many cells.
pub fn operator(cells: usize) -> String {
    let shards = cells * 2;
    format!(
        r#""limits":{{"sockets":1024}},"settings":{{
"balancers":3,"discovery":"subscribe","tick_ms":5.0,"zone":"jhb-dc1",
"caps":{{"connect_timeout_ms":250.0,"keepalive_ms":30000.0,"max_attempts":3,"max_open":185,"max_retry_after_ms":2000.0,
"may_cancel":true,"probes":true,"streams_per_conn":100}},
"domain":{{"cells":{cells},"width":3,"shards":{shards},"bundle_max":1,"least_share":[0.4,1.0,1.0],
"complete_from":[1.0,1.0,1.0],"partial_earns":[0.9,0.9,0.9]}},
"request_classes":[
{{"name":"run-search","aim_ms":2000.0,"deadline_ms":4000.0,"late_worth":0.1,"repeat":"read_like","value":3.0}},
{{"name":"run-lookup","aim_ms":2000.0,"deadline_ms":6000.0,"late_worth":0.1,"repeat":"read_like","value":1.0}},
{{"name":"shift-entry","aim_ms":1500.0,"deadline_ms":5000.0,"late_worth":0.3,"repeat":"non_idempotent","value":2.0}}],
"realms":[{{"name":"vaal-muon","quota_per_s":8.0}},{{"name":"cederberg-nu","quota_per_s":6.0}},
{{"name":"sutherland-cal","quota_per_s":2.0}}],"over_share_worth":0.05,
"rules":{{"cold_from":0.3,"fall_multiple":2.0,"overload_for_ms":1000.0,"warm_within_ms":16000.0}}}}"#
    )
}

/// Returns the configuration keys `limits` and `settings` of `karoo-runbook` with two aggregators and so many cells.
pub fn karoo(cells: usize) -> String {
    let shards = cells * 2;
    format!(
        r#""limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{{
"balancers":2,"discovery":"subscribe","tick_ms":5.0,"zone":"jhb-dc1","failure_domains":["jhb-dc1"],
"caps":{{"connect_timeout_ms":250.0,"keepalive_ms":30000.0,"max_attempts":3,"max_open":185,"max_retry_after_ms":2000.0,
"may_cancel":true,"parallel_tries":true,"probes":true,"retry_after":false,"streams_per_conn":100}},
"domain":{{"bundle_max":1,"cells":{cells},"class_fetch":[0,0,0],"complete_from":[1.0,1.0,1.0],"least_share":[0.4,1.0,1.0],
"overhead_ms":0.0,"partial_earns":[0.9,0.9,0.9],"shards":{shards},"warm_keys":false,"width":3}},
"over_share_worth":0.05,"worth_by":"request",
"realms":[{{"name":"vaal-muon","quota_per_s":8.0,"share":0.49}},{{"name":"cederberg-nu","quota_per_s":6.0,"share":0.36}},
{{"name":"sutherland-cal","quota_per_s":2.0,"share":0.15}}],
"report":{{"fields":["utilization","throughput"],"how":"inline"}},
"request_classes":[
{{"aim_ms":2000.0,"deadline_ms":4000.0,"group":"all","late_worth":0.1,"name":"run-search","repeat":"read_like","streamed":false,"value":3.0,"window_ms":5000.0}},
{{"aim_ms":2000.0,"deadline_ms":6000.0,"group":"all","late_worth":0.1,"name":"run-lookup","repeat":"read_like","streamed":false,"value":1.0,"window_ms":5000.0}},
{{"aim_ms":1500.0,"deadline_ms":5000.0,"group":"all","late_worth":0.3,"name":"shift-entry","repeat":"non_idempotent","streamed":false,"value":2.0,"window_ms":5000.0}}],
"rules":{{"answer_slack_ms":20.0,"ask_every_ms":10000.0,"cold_from":0.3,"fall_multiple":2.0,"overload_for_ms":1000.0,"stop_sending_within_ms":2000.0,"warm_within_ms":16000.0}}}}"#
    )
}
