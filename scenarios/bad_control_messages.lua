-- Malformed, oversized and forged control messages are rejected with a specific
-- error, counted in a metric, and change no state.
local mesh = require("mesh")
local fleet = require("fleet")
local site = mesh.new("qc-east")
local zones = { "qc-east-1" }
local one = site:add_node("node-1", "qc-east-1")
local two = site:add_node("node-2", "qc-east-1")
fleet.apply(site, 3, 1, zones)
site:wait_version(1, 30000)
local function members()
  return site:status(one).control.live_members
end
mesh.wait_until("both nodes are members", 30000, function()
  return members() == 2
end)

local function post(path, body)
  local status, text = http("POST", one.control, path, body)
  return status, text
end
local forged = { node = "node-2", zone = "qc-east-1", life = 1,
  control = "127.0.0.1:1" }
local record = { node = "ghost", zone = "qc-east-1", peer = "127.0.0.1:1",
  control = "127.0.0.1:1", life = 1, seq = 1, state = "serving" }
local cases = {
  { "/v1/sync", "{", 400 },
  { "/v1/sync", "[1]", 400 },
  { "/v1/sync", json_encode({ node = "x", digest = -1 }), 400 },
  { "/v1/up", json_encode({ node = "x" }), 400 },
  { "/v1/attach", "", 400 },
  { "/v1/evidence", json_encode({ node = "x", service = 7 }), 400 },
  { "/v1/nowhere", "{}", 404 },
  { "/v1/up", string.rep("x", 3 * 1048576), 413 },
  { "/v1/attach", json_encode(forged), 409 },
}
for _, case in ipairs(cases) do
  local status, text = post(case[1], case[2])
  assert(status == case[3], case[1] .. " " .. case[2]:sub(1, 60) .. ": " ..
    tostring(status) .. " " .. tostring(text))
end
-- The member records in a message with a forged sender are ignored.
forged.members = { record }
local status, text = post("/v1/up", json_encode(forged))
assert(status == 409 and text:find("belongs to another live node"), text)
assert(members() == 2, "a rejected message changed the members")
assert(site:version_in_force(one) == 1)
mesh.wait_until("the refusals are counted", 30000, function()
  local _, metrics = http("GET", one.admin, "/metrics")
  return metrics:find('gentianlug_control_refused_total{status="400"} 6') and
    metrics:find('gentianlug_control_refused_total{status="409"} 2')
end)
site:stop()
