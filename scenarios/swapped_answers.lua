-- A server sends the responses to two calls on each other's connections. Each
-- caller still gets the complete response to its own call. A swapped response
-- is late, which looks like a slow server, so some calls may be rejected as not
-- run.
local mesh = require("mesh")
local caller = require("caller")
local serving = require("serving")

local site = serving.start_site("commandes", 2, { work_ms = 5 })
local server = site.servers[1]
mesh.wait_until("both entry nodes get answers", 30000, function()
  for _, node in ipairs(site.nodes) do
    if http("POST", node.caller, "/commandes", "x") ~= 200 then return false end
  end
  return true
end)
caller.run({ targets = serving.caller_addresses(site), rate = 300,
  duration_ms = 2000, retries = 2, calls = { { path = "/commandes" } } })
for _, each in ipairs(site.servers) do
  serving.set_behaviour(each, { fault = { kind = "swap_answers", rate = 0.2 } })
end
local calls_file = run.folder .. "/calls"
local result = caller.run({ targets = serving.caller_addresses(site),
  rate = 300, duration_ms = 3000, retries = 2, calls_file = calls_file,
  calls = { { path = "/commandes" } } })
assert(result.answered > 0, json_encode(result))
assert(result.answered + result.not_run == result.calls, json_encode(result))
assert(serving.read_counters(server).errors > 0, "no response was swapped")
local ran = {}
for _, each in ipairs(site.servers) do
  local _, body = http("GET", each.address, "/standin/ran")
  for order, times in pairs(json_decode(body)) do
    assert(times == 1 and not ran[order], order .. " ran twice")
    ran[order] = true
  end
end
for _, call in ipairs(serving.read_calls(calls_file)) do
  assert((call.outcome == "answered") == (ran[call.order] == true),
    call.order .. " was " .. call.outcome)
end
site:stop()
