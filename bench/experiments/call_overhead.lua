-- Latency that two nodes add to a call, compared with direct calls to a server
-- with the same settings. Both callers run concurrently, so that noise affects
-- both.
local mesh = require("mesh")
local caller = require("caller")
local report = require("report")

local site = mesh.new("qc-east")
local examples = run.source .. "/examples/beaudoin/"
local entry = site:add_node("entry", "qc-east-1")
local serving = site:add_node("serving", "qc-east-1")
-- Direct calls go to the server of another service at the entry node.
local direct = site:add_server(entry, "commandes")
site:add_server(serving, "catalogue")
assert(site:apply(examples .. "base.json", examples .. "qc-east.json", "marie",
  "first configuration") == 0)
site:wait_version(1, 10000)

local function settings(target, rate, duration_ms)
  return { targets = { target }, rate = rate, duration_ms = duration_ms,
    calls = { { path = "/catalogue/page", body_bytes = 200 } } }
end

mesh.wait_until("a call is answered through both nodes", 10000, function()
  return http("POST", entry.caller, "/catalogue", "x") == 200
end)
-- Warms up until the cold start limit of the server reaches its slots.
caller.run(settings(entry.caller, 500, 3000))

local figures = { calls = 0, lost = 0 }
local function measure(rate, duration_ms)
  local cpu = caller.cpu_time_us(entry.pid) + caller.cpu_time_us(serving.pid)
  local through = caller.start(settings(entry.caller, rate, duration_ms))
  local baseline = caller.start(settings(direct.address, rate, duration_ms))
  through, baseline = caller.finish(through), caller.finish(baseline)
  cpu = caller.cpu_time_us(entry.pid) + caller.cpu_time_us(serving.pid) - cpu
  figures["baseline_p99_ms_" .. rate] = baseline.p99_ms
  figures["added_p99_ms_" .. rate] = through.p99_ms - baseline.p99_ms
  figures["added_p50_ms_" .. rate] = through.p50_ms - baseline.p50_ms
  figures.cpu_us_per_call = cpu / through.calls
  figures.calls = figures.calls + through.calls
  figures.lost = figures.lost + caller.lost_calls(through)
end
measure(50, 14000)
measure(500, 8000)

-- With no work at the server, the nodes are the bottleneck.
local status = http("POST", site.nodes["serving"].server.address,
  "/standin/behaviour", json_encode({ work_ms = 0 }))
assert(status == 200, "behaviour: " .. status)
figures.calls_per_s_saturated = 0
for _, rate in ipairs({ 1000, 2000, 3000, 4000, 6000, 8000 }) do
  local heavy = settings(entry.caller, rate, 2000)
  heavy.max_in_flight = 200
  local result = caller.run(heavy)
  figures.calls_per_s_saturated = math.max(figures.calls_per_s_saturated,
    result.answered_per_s)
  if caller.lost_calls(result) > 0.01 * result.calls then break end
end
site:stop()
return report.finish("call_overhead", figures)
