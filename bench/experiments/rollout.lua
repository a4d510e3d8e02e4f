-- 24 moves at a time, half of them to good and half to bad versions of each
-- kind; then half as many with the baseline: fixed steps by time and a fixed
-- error threshold.
local moves = require("moves")
local report = require("report")

local READ_RATE = 150 -- calls a second of each service
local PEAK_RATE = 600 -- further calls for versions that fail under load

-- Server settings of both versions by kind of move.
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

-- Draws as many good as bad moves, each kind at least once.
local function draw_services(count)
  local goods, bads, services = {}, {}, {}
  for _, kind in ipairs(kinds) do
    table.insert(kind.good and goods or bads, kind)
  end
  for index = 1, count do
    local pool = index % 2 == 1 and goods or bads
    local kind = pool[(index - 1) // 2 % #pool + 1]
    local name = "service-" .. index
    local service = { name = name, good = kind.good, olds = 2, old = kind.old,
      new = json_decode(json_encode(kind.new)) }
    local fault = service.new.fault
    if fault and fault.path then
      fault.path = "/" .. name .. (draw(0, 1) == 0 and "/read" or "/order")
    end
    if fault and fault.above_in_flight then service.peak = true end
    services[index] = service
  end
  return services
end

-- Notes the calls of both versions until the verdict: the share first exceeds
-- its bound before the verdict, or the version is taken back.
local function observe(service, state)
  if service.before or service.good then return end
  if state.share > 0.05 or moves.decided(state) then
    service.before = {
      new = moves.sum(service.new_servers, "ran"),
      old = moves.sum(service.old_servers, "ran") - service.old_start,
    }
  end
end

-- Returns the calls to a bad version more than 2 s after its first bad answer.
local function calls_after_fault(service)
  local calls = 0
  for _, server in ipairs(service.new_servers) do
    local counters = moves.counters(server)
    if counters and counters.first_bad_ms > 0 and
        counters.last_call_ms > counters.first_bad_ms + 2000 then
      local noted = service.noted and service.noted[server.name]
      calls = calls + math.max(1, counters.ran - (noted or 0))
      print(service.name .. ": last call " ..
        counters.last_call_ms - counters.first_bad_ms ..
        " ms after the first bad answer")
    end
  end
  return calls
end

-- Notes the calls of each bad server once 2 s have passed since its first bad
-- answer.
local function note_calls(services)
  for _, service in ipairs(services) do
    for _, server in ipairs(service.good and {} or service.new_servers) do
      service.noted = service.noted or {}
      local counters = not service.noted[server.name] and
        moves.counters(server)
      if counters and counters.first_bad_ms > 0 and
          wall_ms() > counters.first_bad_ms + 2000 then
        service.noted[server.name] = counters.ran
      end
    end
  end
end

local function run_moves(count, window, node_settings)
  local services = draw_services(count)
  local site = moves.new(services, node_settings)
  for _, service in ipairs(services) do
    service.old_start = moves.sum(service.old_servers, "ran")
  end
  local duration = window * 1000
  for part = 0, 2 do
    local some = {}
    for index, service in ipairs(services) do
      if index % 3 == part then table.insert(some, service) end
    end
    site:call(some, READ_RATE, duration)
  end
  site:begin(function() return window - draw(0, 5) end)
  local last_note = 0
  site:watch(duration + 15000, function(service, state)
    observe(service, state)
    if now_ms() - last_note > 250 then
      note_calls(services)
      last_note = now_ms()
    end
    if service.peak and state.share > 0.3 then
      service.peak = false
      site:call({ service }, PEAK_RATE, 6000)
    end
  end)
  local calls, lost = site:finish_calls()
  return site, services, calls, lost
end

local function count_moves(services)
  local counts = { good = 0, done = 0, good_back = 0, bad = 0, back = 0,
    after = 0, new = 0, all = 0 }
  for _, service in ipairs(services) do
    local state = service.state or {}
    local on_time = state.phase == "done" and
      service.state_decided <= service.finish * 1000
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
    print(service.name, service.good and "good" or json_encode(service.new.fault),
      state.phase, state.reason, service.state_decided and
        service.finish - service.state_decided / 1000)
  end
  return counts
end

local function percent(part, whole)
  return whole > 0 and 100 * part / whole or 0
end

local site, services, calls, lost = run_moves(24, 50, {})
local own = count_moves(services)
site.site:stop()
local base_site, base_services = run_moves(12, 50,
  { rollout_verdict = "fixed" })
local base = count_moves(base_services)
base_site.site:stop()
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
