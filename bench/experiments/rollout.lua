-- 24 concurrent rollouts, half to good and half to bad versions of various
-- kinds; then 12 with the baseline, which uses fixed time steps and a fixed
-- error threshold.
local rollouts = require("rollouts")
local report = require("report")

local READ_RATE = 150 -- calls per second and service
local PEAK_RATE = 600 -- additional load for versions that fail under load

-- Server settings of both versions for each kind of rollout.
local function good(settings)
  return { old = settings, new = settings, good = true }
end
local function bad(fault, settings)
  local new = { fault = fault }
  for key, value in pairs(settings or {}) do new[key] = value end
  return { old = settings or {}, new = new, good = false }
end
local kinds = {
  good({}),
  good({ work_spread_ms = 10 }),
  good({ fault = { kind = "fail", rate = 0.02 } }),
  good({ fault = { kind = "slow", rate = 0.05, slow_factor = 10 } }),
  bad({ kind = "fail" }),
  bad({ kind = "slow", slow_factor = 20 }),
  bad({ kind = "fail", after_ms = 22000 }),
  bad({ kind = "slow", slow_factor = 20, after_ms = 25000 }),
  bad({ kind = "fail", above_in_flight = 3 }),
  bad({ kind = "fail", path = "read" }),
}

-- Returns count services, alternating between good and bad versions and cycling
-- through the kinds of each.
local function draw_services(count)
  local goods, bads, services = {}, {}, {}
  for _, kind in ipairs(kinds) do
    table.insert(kind.good and goods or bads, kind)
  end
  for index = 1, count do
    local pool = index % 2 == 1 and goods or bads
    local kind = pool[(index - 1) // 2 % #pool + 1]
    local name = "service-" .. index
    local service = { name = name, good = kind.good, old_count = 2,
      old = kind.old, new = json_decode(json_encode(kind.new)) }
    local fault = service.new.fault
    if fault and fault.path then
      fault.path = "/" .. name .. (draw(0, 1) == 0 and "/read" or "/order")
    end
    if fault and fault.above_in_flight then service.peak = true end
    services[index] = service
  end
  return services
end

-- Records the calls to both versions of a bad rollout at the verdict: when the
-- share first exceeds 5% (its bound before the verdict) or the rollout is
-- decided.
local function record_calls_at_verdict(service, state)
  if service.before or service.good then return end
  if state.share > 0.05 or rollouts.is_decided(state) then
    service.before = {
      new = rollouts.sum_counter(service.new_servers, "ran"),
      old = rollouts.sum_counter(service.old_servers, "ran") -
        service.old_start,
    }
  end
end

-- Returns the number of calls to a bad version later than 2 s after its first
-- bad response.
local function calls_after_fault(service)
  local calls = 0
  for _, server in ipairs(service.new_servers) do
    local counters = rollouts.read_counters(server)
    if counters and counters.first_bad_ms > 0 and
        counters.last_call_ms > counters.first_bad_ms + 2000 then
      local recorded = service.recorded and service.recorded[server.name]
      calls = calls + math.max(1, counters.ran - (recorded or 0))
      print(service.name .. ": last call " ..
        counters.last_call_ms - counters.first_bad_ms ..
        " ms after the first bad response")
    end
  end
  return calls
end

-- Records the number of calls of each bad server once 2 s have passed since its
-- first bad response.
local function record_calls(services)
  for _, service in ipairs(services) do
    for _, server in ipairs(service.good and {} or service.new_servers) do
      service.recorded = service.recorded or {}
      local counters = not service.recorded[server.name] and
        rollouts.read_counters(server)
      if counters and counters.first_bad_ms > 0 and
          wall_ms() > counters.first_bad_ms + 2000 then
        service.recorded[server.name] = counters.ran
      end
    end
  end
end

local function run_rollouts(count, window, node_settings)
  local services = draw_services(count)
  local fixture = rollouts.new(services, node_settings)
  for _, service in ipairs(services) do
    service.old_start = rollouts.sum_counter(service.old_servers, "ran")
  end
  local duration = window * 1000
  for part = 0, 2 do
    local some = {}
    for index, service in ipairs(services) do
      if index % 3 == part then table.insert(some, service) end
    end
    fixture:start_caller(some, READ_RATE, duration)
  end
  fixture:start_rollouts(function() return window - draw(0, 5) end)
  local last_recorded_ms = 0
  fixture:wait_until_decided(duration + 15000, function(service, state)
    record_calls_at_verdict(service, state)
    if now_ms() - last_recorded_ms > 250 then
      record_calls(services)
      last_recorded_ms = now_ms()
    end
    if service.peak and state.share > 0.3 then
      service.peak = false
      fixture:start_caller({ service }, PEAK_RATE, 6000)
    end
  end)
  local calls, lost = fixture:finish_callers()
  return fixture, services, calls, lost
end

local function count_outcomes(services)
  local counts = { good = 0, done = 0, good_back = 0, bad = 0, back = 0,
    after = 0, new = 0, all = 0 }
  for _, service in ipairs(services) do
    local state = service.state or {}
    local on_time = state.phase == "done" and
      service.decided_at_ms <= service.finish * 1000
    if service.good then
      counts.good = counts.good + 1
      counts.done = counts.done + (on_time and 1 or 0)
      counts.good_back = counts.good_back +
        (state.phase == "taken_back" and 1 or 0)
    else
      counts.bad = counts.bad + 1
      counts.back = counts.back + (state.phase == "taken_back" and 1 or 0)
      counts.after = counts.after + calls_after_fault(service)
      local before = service.before or { new = 0, old = 0 }
      counts.new = counts.new + before.new
      counts.all = counts.all + before.new + before.old
    end
    print(service.name,
      service.good and "good" or json_encode(service.new.fault),
      state.phase, state.reason, service.decided_at_ms and
        service.finish - service.decided_at_ms / 1000)
  end
  return counts
end

local function percent(part, whole)
  return whole > 0 and 100 * part / whole or 0
end

local fixture, services, calls, lost = run_rollouts(24, 50, {})
local own = count_outcomes(services)
fixture.site:stop()
local base_fixture, base_services = run_rollouts(12, 50,
  { rollout_verdict = "fixed" })
local base = count_outcomes(base_services)
base_fixture.site:stop()
return report.finish("rollout", {
  moves = own.good + own.bad,
  good_on_time_percent = percent(own.done, own.good),
  bad_taken_back_percent = percent(own.back, own.bad),
  bad_share_percent = percent(own.new, own.all),
  calls_after_fault = own.after,
  good_taken_back = own.good_back,
  calls = calls,
  calls_lost = lost,
  baseline_good_on_time_percent = percent(base.done, base.good),
  baseline_bad_share_percent = percent(base.new, base.all),
})
