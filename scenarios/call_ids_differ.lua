-- Nodes with equal seeds, and a node before and after a restart, must not
-- generate the same call ids. A serving node would treat two calls with one id
-- as the same call, and a caller would get the response to another call.
local mesh = require("mesh")
local site = mesh.new("qc-east")
local examples = run.source .. "/examples/beaudoin/"
local first = site:add_node("first", "qc-east-1")
local second = site:add_node("second", "qc-east-2")
local code, output = site:apply(examples .. "base.json",
  examples .. "qc-east.json", "marie", "first configuration")
assert(code == 0, output)
site:wait_version(1, 30000)

local seen = {}
-- No server is needed: rejections carry the call id too, once the entry tasks
-- have the configuration, which they get after the control task.
local function check_ids(node)
  mesh.wait_until("calls of " .. node.name .. " are routed", 30000, function()
    local _, _, headers = http("POST", node.caller, "/commandes", "pot")
    return headers ~= nil and headers["gl-call-id"] ~= nil
  end)
  for _ = 1, 10 do
    local _, body, headers = http("POST", node.caller, "/commandes", "pot")
    local id = headers and headers["gl-call-id"]
    assert(id, body)
    assert(not seen[id], "call id " .. id .. " was generated twice")
    seen[id] = true
  end
end

check_ids(first)
check_ids(second)
signal(second.pid, mesh.SIGKILL)
wait_exit(second.pid, 10000)
site:start_node(second)
site:wait_version(1, 30000)
check_ids(second)
site:stop()
