-- Twice the capacity for 20 s. The baseline sends the same calls round robin
-- straight to like servers, without limits, at the same rate.
local caller = require("caller")
local report = require("report")
local serving = require("serving")

local COUNT, SLOTS, WORK_MS, SECONDS, DEADLINE_MS = 5, 10, 50, 20, 1000
local behaviour = { slots = SLOTS, work_ms = WORK_MS, warm_up_ms = 1000 }
local capacity = COUNT * SLOTS * 1000 / WORK_MS

local site = serving.start_site("inventaire", COUNT, behaviour)

local function load(targets, rate, seconds, name)
  return caller.start({ targets = targets, rate = rate,
    duration_ms = seconds * 1000, deadline_ms = DEADLINE_MS,
    timeout_ms = 5000, calls_file = run.folder .. "/" .. name,
    calls = { { method = "POST", path = "/inventaire", body_bytes = 100 } } })
end

-- Counts the calls answered in time; returns also their p99.
local function good(name)
  local latencies, in_time = {}, 0
  for _, call in ipairs(serving.read_calls(run.folder .. "/" .. name)) do
    if call.outcome == "answered" then
      latencies[#latencies + 1] = call.latency_us / 1000
      if call.latency_us <= DEADLINE_MS * 1000 then in_time = in_time + 1 end
    end
  end
  table.sort(latencies)
  return in_time, serving.quantile(latencies, 0.99) or 0
end

-- Lets the cold start allowances grow before the measurement.
local warm = caller.finish(
  load(serving.callers(site), capacity * 0.8, 3, "warm"))
-- Metrics are published once a second.
sleep_ms(1500)
local retries_before = serving.metric(site, "gentianlug_retries_total")
local result = caller.finish(
  load(serving.callers(site), 2 * capacity, SECONDS, "mesh"))
sleep_ms(1500)
local retries = serving.metric(site, "gentianlug_retries_total")
local in_time, p99 = good("mesh")
local fell_over = serving.sum(site.servers, "fell_over")
site:stop()

local bare = serving.start_bare("inventaire", COUNT, behaviour)
caller.finish(load(serving.addresses(bare), capacity * 0.5, 2, "bare-warm"))
caller.finish(load(serving.addresses(bare), 2 * capacity, SECONDS, "bare"))
local bare_in_time = good("bare")

return report.finish("overload", {
  calls = result.calls,
  capacity_per_s = capacity,
  goodput_ratio = in_time / (SECONDS * capacity),
  -- The retry budget counts first tries since the start of a node. What it
  -- saved before the overload shows in the second figure.
  tries_per_call = 1 + retries / (warm.calls + result.calls),
  tries_per_call_overload_only =
    1 + (retries - retries_before) / result.calls,
  deadline_missed = p99 > DEADLINE_MS and 1 or 0,
  accepted_p99_ms = p99,
  unknown = result.unknown,
  fell_over = fell_over,
  baseline_goodput_ratio = bare_in_time / (SECONDS * capacity),
  baseline_fell_over = serving.sum(bare, "fell_over"),
})
