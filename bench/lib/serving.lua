-- Helpers shared by scenarios and experiments on call handling.
local mesh = require("mesh")
local serving = {}

-- Starts count nodes, each with one server of the service, and applies the
-- sample configuration of qc-east.
function serving.start_site(service, count, settings)
  local site = mesh.new("qc-east")
  local examples = run.source .. "/examples/beaudoin/"
  for number = 1, count do
    local node = site:add_node(service .. "-" .. number,
      "qc-east-" .. (number - 1) % 3 + 1)
    site:add_server(node, service, settings)
  end
  local code, output = site:apply(examples .. "base.json",
    examples .. "qc-east.json", "marie", "first configuration")
  assert(code == 0, output)
  site:wait_version(1, 15000)
  return site
end

-- Starts servers without nodes, to which callers connect directly. Used as the
-- baseline.
function serving.start_standalone_servers(service, count, settings)
  local servers = {}
  for number = 1, count do
    local merged = { listen = "127.0.0.1:" .. free_port(), service = service,
      node_admin = "127.0.0.1:" .. free_port(), announcing = false }
    for key, value in pairs(settings) do merged[key] = value end
    local server = { address = merged.listen }
    server.pid = mesh.start_standin("server", "bare-" .. number, merged)
    servers[number] = server
  end
  for _, server in ipairs(servers) do
    mesh.wait_until("standalone server listens", 10000, function()
      return http("GET", server.address, "/standin/counters") == 200
    end)
  end
  return servers
end

function serving.read_counters(server)
  local status, body = http("GET", server.address, "/standin/counters", "", {},
    2000)
  return status == 200 and json_decode(body) or nil
end

-- Returns the sum of a counter over servers. Waits for a server that does not
-- respond because it fell over.
function serving.sum_counter(servers, name)
  local sum = 0
  for _, server in ipairs(servers) do
    local counters
    mesh.wait_until("server returns its counters", 10000, function()
      counters = serving.read_counters(server)
      return counters ~= nil
    end)
    sum = sum + counters[name]
  end
  return sum
end

function serving.set_behaviour(server, changes)
  local status, body = http("POST", server.address, "/standin/behaviour",
    json_encode(changes))
  assert(status == 200, body)
end

-- Returns the addresses of the caller listeners of all nodes.
function serving.caller_addresses(site)
  local addresses = {}
  for index, node in ipairs(site.nodes) do addresses[index] = node.caller end
  return addresses
end

function serving.server_addresses(servers)
  local addresses = {}
  for index, server in ipairs(servers) do addresses[index] = server.address end
  return addresses
end

-- Returns the sum of a metric over all nodes and label values.
function serving.sum_metric(site, name)
  local sum = 0
  for _, node in ipairs(site.nodes) do
    local _, text = http("GET", node.admin, "/metrics")
    for value in text:gmatch("\n" .. name .. "{?[^\n]* ([%d.]+)") do
      sum = sum + tonumber(value)
    end
  end
  return sum
end

-- Returns the records of a calls file.
function serving.read_calls(path)
  local calls = {}
  for line in io.lines(path) do calls[#calls + 1] = json_decode(line) end
  return calls
end

-- Returns a quantile of a sorted list; share is from 0 to 1.
function serving.quantile(sorted, share)
  return sorted[math.max(1, math.ceil(#sorted * share))]
end

return serving
