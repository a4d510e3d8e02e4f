-- Load of twice the capacity for 20 s. The baseline sends the same calls at the
-- same rate round robin directly to servers with the same settings, without
-- limits.
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

-- Returns the number of calls answered within the deadline, and the p99 latency
-- of all answered calls in milliseconds.
local function count_in_time(name)
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

-- Warms up until the cold start limits have grown.
local warm = caller.finish(
  load(serving.caller_addresses(site), capacity * 0.8, 3, "warm"))
-- Metrics are published once a second.
sleep_ms(1500)
local retries_before = serving.sum_metric(site, "gentianlug_retries_total")
local result = caller.finish(
  load(serving.caller_addresses(site), 2 * capacity, SECONDS, "mesh"))
sleep_ms(1500)
local retries = serving.sum_metric(site, "gentianlug_retries_total")
local in_time, p99_ms = count_in_time("mesh")
local fell_over = serving.sum_counter(site.servers, "fell_over")
site:stop()

local standalone = serving.start_standalone_servers("inventaire", COUNT,
  behaviour)
caller.finish(load(serving.server_addresses(standalone), capacity * 0.5, 2,
  "bare-warm"))
caller.finish(load(serving.server_addresses(standalone), 2 * capacity, SECONDS,
  "bare"))
local baseline_in_time = count_in_time("bare")

return report.finish("overload", {
  calls = result.calls,
  capacity_per_s = capacity,
  goodput_ratio = in_time / (SECONDS * capacity),
  -- The retry budget is a share of the first tries since the start of a node,
  -- so budget left over from before the overload can raise the second figure.
  tries_per_call = 1 + retries / (warm.calls + result.calls),
  tries_per_call_overload_only =
    1 + (retries - retries_before) / result.calls,
  deadline_missed = p99_ms > DEADLINE_MS and 1 or 0,
  accepted_p99_ms = p99_ms,
  unknown = result.unknown,
  fell_over = fell_over,
  baseline_goodput_ratio = baseline_in_time / (SECONDS * capacity),
  baseline_fell_over = serving.sum_counter(standalone, "fell_over"),
})
