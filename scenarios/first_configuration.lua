-- An applied configuration becomes active on every node, and a call is answered
-- through the node of the backend server.
local mesh = require("mesh")
local site = mesh.new("qc-east")
local node = site:add_node("commandes-1", "qc-east-1")
site:add_server(node, "commandes")
local examples = run.source .. "/examples/beaudoin/"
local code, output = site:apply(examples .. "base.json",
  examples .. "qc-east.json", "marie", "first configuration")
assert(code == 0, output)
site:wait_version(1, 30000)
mesh.wait_until("an order is answered in full", 30000, function()
  local status, body = http("POST", node.caller, "/commandes", "one glue pot")
  return status == 200 and body == "answer to one glue pot"
end)
mesh.wait_until("the status command reports the version", 30000, function()
  code, output = site:command({ "status" })
  return code == 0 and output:find("version 1 is in force on 1 of 1 nodes")
end)
site:stop()
