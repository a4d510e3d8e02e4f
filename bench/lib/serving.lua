-- Parts that the experiments of the serving side share.
local mesh = require("mesh")
local serving = {}

-- Starts count nodes with a server of one service beside each, with the sample
-- configuration of qc-east in force.
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

-- Starts servers without nodes, for calls that go straight to them.
function serving.start_bare(service, count, settings)
  local servers = {}
  for number = 1, count do
    local own = { listen = "127.0.0.1:" .. free_port(), service = service,
      node_admin = "127.0.0.1:" .. free_port(), announcing = false }
    for key, value in pairs(settings) do own[key] = value end
    local server = { address = own.listen }
    server.pid = mesh.start_standin("server", "bare-" .. number, own)
    servers[number] = server
  end
  for _, server in ipairs(servers) do
    mesh.wait_until("a bare server listens", 10000, function()
      return http("GET", server.address, "/standin/counters") == 200
    end)
  end
  return servers
end

function serving.counters(server)
  local status, body = http("GET", server.address, "/standin/counters", "", {},
    2000)
  return status == 200 and json_decode(body) or nil
end

-- Adds up one counter over servers; waits for a server that fell over.
function serving.sum(servers, name)
  local sum = 0
  for _, server in ipairs(servers) do
    local counters
    mesh.wait_until("a server shows its counters", 10000, function()
      counters = serving.counters(server)
      return counters ~= nil
    end)
    sum = sum + counters[name]
  end
  return sum
end

function serving.behave(server, changes)
  local status, body = http("POST", server.address, "/standin/behaviour",
    json_encode(changes))
  assert(status == 200, body)
end

-- Addresses of the caller listeners.
function serving.callers(site)
  local addresses = {}
  for index, node in ipairs(site.nodes) do addresses[index] = node.caller end
  return addresses
end

function serving.addresses(servers)
  local addresses = {}
  for index, server in ipairs(servers) do addresses[index] = server.address end
  return addresses
end

-- Adds up one counter of the nodes' metrics.
function serving.metric(site, name)
  local sum = 0
  for _, node in ipairs(site.nodes) do
    local _, text = http("GET", node.admin, "/metrics")
    for value in text:gmatch("\n" .. name .. "{?[^\n]* ([%d.]+)") do
      sum = sum + tonumber(value)
    end
  end
  return sum
end

-- Reads the lines of a calls file.
function serving.read_calls(path)
  local calls = {}
  for line in io.lines(path) do calls[#calls + 1] = json_decode(line) end
  return calls
end

-- Returns the value below which the share of the sorted list lies.
function serving.quantile(sorted, share)
  return sorted[math.max(1, math.ceil(#sorted * share))]
end

return serving
