-- A node refuses callers that would use it up, tells that nothing has run, and
-- goes on serving others.
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

local function expect(status, body, headers, why)
  local got, _, answer = http("POST", node.caller, "/commandes", body, headers)
  assert(got == status, why .. ": status " .. got)
  return answer
end
-- Above the limit of the route, and above the limit of the listener.
local headers = expect(413, string.rep("x", 1500000), {}, "route limit")
assert(headers["gl-outcome"] == "not-run")
expect(413, string.rep("x", 3000000), {}, "listener limit")
headers = expect(508, "x", { ["gl-depth"] = "16" }, "call loop")
assert(headers["gl-outcome"] == "not-run")
headers = expect(504, "x", { ["gl-deadline-ms"] = "0" }, "no time left")
assert(headers["gl-outcome"] == "not-run")
expect(400, "x", { ["gl-call-id"] = "no/id" }, "malformed id")
expect(200, "x", {}, "a call in its limits")
site:stop()
