-- Servers restart silently one after another under load: the address stays the
-- same, the incarnation changes, and at first a server can run only one call at
-- a time. The baseline sends the same calls round robin directly to servers
-- with the same settings, without limits.
local caller = require("caller")
local report = require("report")
local serving = require("serving")

local COUNT, SLOTS, WORK_MS, WARM_UP_MS = 5, 10, 20, 3000
local TURN_MS, LOAD = 4000, 0.6
local WINDOW_MS, STEP_MS = 400, 40
local behaviour = { slots = SLOTS, work_ms = WORK_MS, warm_up_ms = WARM_UP_MS }
local rate = LOAD * COUNT * SLOTS * 1000 / WORK_MS

local site = serving.start_site("inventaire", COUNT, behaviour)

local function load(targets, seconds)
  return caller.start({ targets = targets, rate = rate,
    duration_ms = seconds * 1000, deadline_ms = 1000,
    calls = { { method = "POST", path = "/inventaire", body_bytes = 100 } } })
end

-- Samples one server until the end of its turn. Returns the time from the
-- restart to the first window in which it handled 90% of its share, or nil.
local function measure_time_to_full_share(server, share_per_ms, restarted,
                                          turn_end)
  local samples, full_share_after_ms = {}, nil
  while now_ms() < turn_end do
    local counters = serving.read_counters(server)
    if counters then
      samples[#samples + 1] = { now_ms(), counters.ran }
      local last, first = samples[#samples], nil
      for index = #samples - 1, 1, -1 do
        first = samples[index]
        if last[1] - first[1] >= WINDOW_MS then break end
      end
      local span = first and last[1] - first[1] or 0
      if not full_share_after_ms and span >= WINDOW_MS and
        last[2] - first[2] >= 0.9 * share_per_ms * span then
        full_share_after_ms = first[1] - restarted
      end
    end
    sleep_ms(STEP_MS)
  end
  return full_share_after_ms
end

-- Restarts each server in turn under load. Returns the result of the caller,
-- the longest time to the full share, and the share in calls per millisecond.
local function restart_in_turn(targets, servers, measured)
  local started = caller.start({ targets = targets, rate = rate,
    duration_ms = (COUNT + 1) * TURN_MS, deadline_ms = 1000,
    calls = { { method = "POST", path = "/inventaire", body_bytes = 100 } } })
  local before = serving.sum_counter(servers, "ran")
  local began = now_ms()
  sleep_ms(TURN_MS / 2)
  local share_per_ms = (serving.sum_counter(servers, "ran") - before) /
    (now_ms() - began) / COUNT
  local longest_ms = 0
  for _, server in ipairs(servers) do
    serving.set_behaviour(server, { restart = true })
    local restarted = now_ms()
    if measured then
      longest_ms = math.max(longest_ms, measure_time_to_full_share(server,
        share_per_ms, restarted, restarted + TURN_MS) or math.huge)
    else
      sleep_ms(TURN_MS)
    end
  end
  return caller.finish(started), longest_ms, share_per_ms
end

caller.finish(load(serving.caller_addresses(site), 5))
local before = serving.sum_counter(site.servers, "fell_over")
local result, longest_ms, share_per_ms = restart_in_turn(
  serving.caller_addresses(site), site.servers, true)
local fell_over = serving.sum_counter(site.servers, "fell_over") - before
site:stop()

local standalone = serving.start_standalone_servers("inventaire", COUNT,
  behaviour)
local warm_up = caller.start({ targets = serving.server_addresses(standalone),
  rate = rate / 10, duration_ms = WARM_UP_MS, calls = {
    { method = "POST", path = "/inventaire" } } })
caller.finish(warm_up)
COUNT = 2
local baseline_result = restart_in_turn(serving.server_addresses(standalone),
  { standalone[1], standalone[2] }, false)

-- The shortest possible time to the full share: the capacity of a server grows
-- linearly up to its slots during warm-up, and the full share keeps
-- share_per_ms * WORK_MS of them busy.
local shortest_ms = WARM_UP_MS * share_per_ms * WORK_MS / SLOTS
return report.finish("cold_start", {
  calls = result.calls,
  calls_lost = caller.lost_calls(result),
  fell_over = fell_over,
  full_share_ratio = longest_ms / shortest_ms,
  full_share_ms = longest_ms,
  p99_ms = result.p99_ms,
  not_run = result.not_run,
  wrong = result.wrong,
  baseline_calls_lost = caller.lost_calls(baseline_result),
  baseline_fell_over = serving.sum_counter(standalone, "fell_over"),
})
