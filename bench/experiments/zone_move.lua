-- One of three availability zones is taken out under load and brought back with
-- cold servers. The baseline sends the calls directly to the same number of
-- servers and gives the returning ones their full share at once.
local mesh = require("mesh")
local caller = require("caller")
local serving = require("serving")
local report = require("report")

local SERVICE = "inventaire"
local SERVERS = 6
local ZONE = "qc-east-1"
local RATE = 600
local RUN_MS = 42000
local OUT_MS = 10000 -- after the first call
local BACK_MS = 22000
-- A cold server can run one call at a time; it is warm after 5 s.
local BEHAVIOUR = { work_ms = 20, warm_up_ms = 5000, cold_load = 1 }
local CALLS = { { method = "GET", path = "/inventaire/stock" } }

local site = serving.start_site(SERVICE, SERVERS, BEHAVIOUR)
local zone_servers, others = {}, {}
for _, server in ipairs(site.servers) do
  table.insert(server.node.zone == ZONE and zone_servers or others, server)
end
for _, node in ipairs(site.nodes) do
  mesh.wait_until("node serves", 30000, function()
    return http("GET", node.caller, "/inventaire/stock") == 200
  end)
end
sleep_ms(BEHAVIOUR.warm_up_ms)
caller.run({ targets = serving.caller_addresses(site), calls = CALLS,
  rate = RATE, duration_ms = 6000, retries = 2 }) -- warms the servers up
local before = serving.sum_counter(site.servers, "fell_over")
local file = run.folder .. "/calls"
local started = caller.start({ targets = serving.caller_addresses(site),
  calls = CALLS, rate = RATE, duration_ms = RUN_MS, retries = 2,
  calls_file = file })
local start = now_ms()

local function wait_since_start(ms)
  sleep_ms(math.max(0, math.floor(start + ms - now_ms())))
end

local function change_zone(direction)
  local code, output = site:command({ "zone", direction, ZONE, "--author",
    "marie", "--reason", "maintenance" })
  assert(code == 0, output)
end

wait_since_start(OUT_MS)
local accepted = wall_ms() -- before the command, to include its duration
change_zone("out")
wait_since_start(BACK_MS)
local last_call_ms = 0
for _, server in ipairs(zone_servers) do
  local counters = serving.read_counters(server)
  last_call_ms = math.max(last_call_ms, counters.last_call_ms)
  serving.set_behaviour(server, { restart = true })
end
change_zone("in")
local result = caller.finish(started)
local fell_over = serving.sum_counter(site.servers, "fell_over") - before

local latencies_before, latencies_during = {}, {}
for _, call in ipairs(caller.read_calls(file)) do
  if call.outcome == "answered" then
    table.insert(call.due_us < OUT_MS * 1000 and latencies_before or
      latencies_during, call.latency_us)
  end
end
table.sort(latencies_before)
table.sort(latencies_during)
local servers_back = 0
for _, server in ipairs(zone_servers) do
  local counters = serving.read_counters(server)
  if counters and counters.last_call_ms > last_call_ms + 5000 then
    servers_back = servers_back + 1
  end
end
site:stop()

-- Baseline: servers without nodes.
local standalone = serving.start_standalone_servers(SERVICE, SERVERS, BEHAVIOUR)
sleep_ms(BEHAVIOUR.warm_up_ms + 500)
local baseline_caller = caller.start({
  targets = serving.server_addresses(standalone), calls = CALLS, rate = RATE,
  duration_ms = 15000 })
sleep_ms(5000)
for index = 1, #zone_servers do
  serving.set_behaviour(standalone[index], { restart = true })
end
caller.finish(baseline_caller)
return report.finish("zone_move", {
  last_call_s = (last_call_ms - accepted) / 1000,
  calls = result.calls,
  calls_lost = caller.lost_calls(result),
  fell_over = fell_over,
  servers_back = servers_back,
  p99_ratio = serving.quantile(latencies_during, 0.99) /
    serving.quantile(latencies_before, 0.99),
  baseline_fell_over = serving.sum_counter(standalone, "fell_over"),
})
