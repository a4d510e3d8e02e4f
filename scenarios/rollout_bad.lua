-- A new version that fails after a while is taken back, gets no calls 2 s after
-- its first bad answer, and stays out; no call is lost otherwise.
local moves = require("moves")
local site = moves.new({ { name = "commandes", old = {}, olds = 2,
  new = { fault = { kind = "fail", after_calls = 10 } } } })
site:call(site.services, 250, 35000)
site:begin(function() return 60 end)
assert(site:watch(40000), "the move is not decided")
local service = site.services[1]
assert(service.state.phase == "taken_back" and service.state.share == 0,
  json_encode(service.state))
local before = moves.counters(service.new_servers[1])
assert(before.last_call_ms <= before.first_bad_ms + 2000, json_encode(before))
local calls, lost = site:finish_calls()
local after = moves.counters(service.new_servers[1])
assert(after.ran == before.ran, "calls after the version was taken back")
assert(after.ran <= 0.05 * calls, after.ran .. " of " .. calls .. " calls")
assert(calls > 1000 and lost == 0, lost .. " of " .. calls .. " calls lost")
site.site:stop()
