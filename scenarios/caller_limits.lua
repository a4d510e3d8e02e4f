-- A node rejects calls that exceed its limits, reports that they have not run,
-- and continues to serve other calls.
local mesh = require("mesh")
local site = mesh.new("qc-east")
local node = site:add_node("commandes-1", "qc-east-1")
site:add_server(node, "commandes")
local examples = run.source .. "/examples/beaudoin/"
assert(site:apply(examples .. "base.json", examples .. "qc-east.json", "marie",
  "first configuration") == 0)
site:wait_version(1, 30000)
mesh.wait_until("an order is answered", 30000, function()
  return http("POST", node.caller, "/commandes", "warm") == 200
end)

local function expect(status, body, headers, description)
  local actual, _, response_headers = http("POST", node.caller, "/commandes",
    body, headers)
  assert(actual == status, description .. ": status " .. actual)
  return response_headers
end
-- A body above the limit of the route, then above that of the listener.
local headers = expect(413, string.rep("x", 1500000), {}, "route limit")
assert(headers["gl-outcome"] == "not-run")
expect(413, string.rep("x", 3000000), {}, "listener limit")
headers = expect(508, "x", { ["gl-depth"] = "16" }, "call loop")
assert(headers["gl-outcome"] == "not-run")
headers = expect(504, "x", { ["gl-deadline-ms"] = "0" }, "no time left")
assert(headers["gl-outcome"] == "not-run")
expect(400, "x", { ["gl-call-id"] = "no/id" }, "malformed id")
expect(200, "x", {}, "a call within all limits")
site:stop()
