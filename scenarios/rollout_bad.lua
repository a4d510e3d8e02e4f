-- A new version that starts to fail after some calls is rolled back, gets no
-- calls later than 2 s after its first bad response, and gets none afterwards.
-- No call is lost for another reason.
local rollouts = require("rollouts")
local fixture = rollouts.new({ { name = "commandes", old = {}, old_count = 2,
  new = { fault = { kind = "fail", after_calls = 10 } } } })
fixture:start_caller(fixture.services, 250, 35000)
fixture:start_rollouts(function() return 60 end)
assert(fixture:wait_until_decided(40000), "the rollout is not decided")
local service = fixture.services[1]
assert(service.state.phase == "taken_back" and service.state.share == 0,
  json_encode(service.state))
local before = rollouts.read_counters(service.new_servers[1])
assert(before.last_call_ms <= before.first_bad_ms + 2000, json_encode(before))
local calls, lost = fixture:finish_callers()
local after = rollouts.read_counters(service.new_servers[1])
assert(after.ran == before.ran, "calls after the version was taken back")
assert(after.ran <= 0.05 * calls, after.ran .. " of " .. calls .. " calls")
assert(calls > 1000 and lost == 0, lost .. " of " .. calls .. " calls lost")
fixture.site:stop()
