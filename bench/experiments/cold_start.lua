-- Servers restart silently in turn under load: they stay in place, come back
-- with another incarnation, and bear one call at first. The baseline sends the
-- same calls round robin straight to like servers, without limits.
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

-- Follows one server until the end of its turn. Returns the time after the
-- restart from which on it carried 90% of its share over a whole window.
local function follow(server, share_per_ms, restarted, turn_end)
  local samples, full = {}, nil
  while now_ms() < turn_end do
    local counters = serving.counters(server)
    if counters then
      samples[#samples + 1] = { now_ms(), counters.ran }
      local last, first = samples[#samples], nil
      for index = #samples - 1, 1, -1 do
        first = samples[index]
        if last[1] - first[1] >= WINDOW_MS then break end
      end
      local span = first and last[1] - first[1] or 0
      if not full and span >= WINDOW_MS and
        last[2] - first[2] >= 0.9 * share_per_ms * span then
        full = first[1] - restarted
      end
    end
    sleep_ms(STEP_MS)
  end
  return full
end

-- Restarts each server in turn under load. Returns the result of the caller
-- and the longest time to the full share.
local function run_turns(targets, servers, measured)
  local under_way = caller.start({ targets = targets, rate = rate,
    duration_ms = (COUNT + 1) * TURN_MS, deadline_ms = 1000,
    calls = { { method = "POST", path = "/inventaire", body_bytes = 100 } } })
  local before = serving.sum(servers, "ran")
  local began = now_ms()
  sleep_ms(TURN_MS / 2)
  local share = (serving.sum(servers, "ran") - before) / (now_ms() - began) /
    COUNT
  local longest = 0
  for _, server in ipairs(servers) do
    serving.behave(server, { restart = true })
    local restarted = now_ms()
    if measured then
      longest = math.max(longest, follow(server, share, restarted,
        restarted + TURN_MS) or math.huge)
    else
      sleep_ms(TURN_MS)
    end
  end
  return caller.finish(under_way), longest, share
end

caller.finish(load(serving.callers(site), 5))
local before = serving.sum(site.servers, "fell_over")
local result, longest, share = run_turns(serving.callers(site), site.servers,
  true)
local fell_over = serving.sum(site.servers, "fell_over") - before
site:stop()

local bare = serving.start_bare("inventaire", COUNT, behaviour)
local bare_warm = caller.start({ targets = serving.addresses(bare),
  rate = rate / 10, duration_ms = WARM_UP_MS, calls = {
    { method = "POST", path = "/inventaire" } } })
caller.finish(bare_warm)
COUNT = 2
local bare_result = run_turns(serving.addresses(bare),
  { bare[1], bare[2] }, false)

-- The fastest time that a server can bear: it bears its slots in proportion to
-- its age, and its share keeps this many of them busy.
local fastest = WARM_UP_MS * share * WORK_MS / SLOTS
return report.finish("cold_start", {
  calls = result.calls,
  calls_lost = caller.lost(result),
  fell_over = fell_over,
  full_share_ratio = longest / fastest,
  full_share_ms = longest,
  p99_ms = result.p99_ms,
  not_run = result.not_run,
  wrong = result.wrong,
  baseline_calls_lost = caller.lost(bare_result),
  baseline_fell_over = serving.sum(bare, "fell_over"),
})
