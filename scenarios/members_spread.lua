-- Member records and the list of zones that are out propagate to every node of
-- two zones, with or without a relay lease.
local mesh = require("mesh")
local site = mesh.new("qc-east")
for number = 1, 8 do
  local node = site:add_node("commandes-" .. number,
    "qc-east-" .. (number - 1) % 2 + 1)
  site:add_server(node, "commandes")
end
local examples = run.source .. "/examples/beaudoin/"
local code, output = site:apply(examples .. "base.json",
  examples .. "qc-east.json", "marie", "first configuration")
assert(code == 0, output)
site:wait_version(1, 30000)
mesh.wait_until("every node knows every member", 30000, function()
  for _, node in ipairs(site.nodes) do
    local status = site:status(node)
    if not status or not status.control or status.control.members ~= 8 then
      return false
    end
  end
  return true
end)
local zones = { write_id = "w1", out = { ["qc-east-2"] = {
  author = "marie", reason = "power work", since_ms = 1 } } }
local status, body = http("PUT", site.platform, "/objects?key=live/zones",
  json_encode({ value = json_encode(zones) }))
assert(status == 200, body)
mesh.wait_until("every node knows the zone that is out", 30000, function()
  for _, node in ipairs(site.nodes) do
    local control = site:status(node).control
    if control.zones_out ~= 1 then return false end
  end
  return true
end)
local roots = 0
for _, node in ipairs(site.nodes) do
  if site:status(node).control.root_relay then roots = roots + 1 end
end
assert(roots >= 2 and roots <= 4, "root relays: " .. roots)
site:stop()
