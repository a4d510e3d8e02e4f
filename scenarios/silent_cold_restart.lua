-- A server that becomes cold under load without deregistering or announcing the
-- restart gets no more calls than it can handle: it does not fail from
-- overload, and no call is lost.
local mesh = require("mesh")
local caller = require("caller")
local serving = require("serving")

local behaviour = { work_ms = 20, warm_up_ms = 1500 }
local site = serving.start_site("inventaire", 3, behaviour)
local function load(duration_ms)
  return caller.start({ targets = serving.caller_addresses(site), rate = 500,
    duration_ms = duration_ms, deadline_ms = 1000,
    calls = { { path = "/inventaire" } } })
end
mesh.wait_until("calls are no longer rejected", 60000, function()
  return caller.lost_calls(caller.finish(load(1000))) == 0
end)

local started = load(5000)
local server = site.servers[1]
local before = serving.read_counters(server).ran
mesh.wait_until("the server is under load", 10000, function()
  return serving.read_counters(server).ran > before + 50
end)
serving.set_behaviour(server, { restart = true })
local result = caller.finish(started)
assert(result.answered == result.calls, json_encode(result))
for _, each in ipairs(site.servers) do
  assert(serving.read_counters(each).fell_over == 0, each.name .. " fell over")
end
local log = read_file(run.folder .. "/inventaire-1.log")
assert(log:find("GL4501"), "the restart was not detected")
site:stop()
