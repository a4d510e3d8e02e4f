-- A mesh of real processes: one platform, nodes and backend servers.
local mesh = {}

mesh.SIGTERM, mesh.SIGKILL, mesh.SIGSTOP, mesh.SIGCONT = 15, 9, 19, 18

-- Polls until condition() returns true; raises an error after limit_ms.
function mesh.wait_until(what, limit_ms, condition)
  local deadline = now_ms() + limit_ms
  while not condition() do
    if now_ms() > deadline then
      error("timed out after " .. limit_ms .. " ms: " .. what, 2)
    end
    sleep_ms(10)
  end
end

local function new_address()
  return "127.0.0.1:" .. free_port()
end

local function log_path(name)
  return run.folder .. "/" .. name .. ".log"
end

-- Starts the stand-in binary of a kind; its settings are passed as JSON.
function mesh.start_standin(kind, name, settings)
  local binary = run.binaries .. "/standins/standin-" .. kind
  return spawn({ binary, json_encode(settings) }, log_path(name))
end

local Mesh = {}
Mesh.__index = Mesh

-- Creates a mesh that consists of the platform only.
function mesh.new(site)
  local self = setmetatable({ site = site, nodes = {}, servers = {} }, Mesh)
  self.platform = new_address()
  self:start_platform()
  return self
end

function Mesh:start_platform()
  self.platform_pid = mesh.start_standin("platform", "platform",
    { listen = self.platform, seed = run.seed })
  mesh.wait_until("platform listens", 10000, function()
    return http("GET", self.platform, "/admin/counters") == 200
  end)
end

function Mesh:set_platform_faults(faults)
  local status, body = http("POST", self.platform, "/admin/faults",
    json_encode(faults))
  assert(status == 200, body)
end

function Mesh:platform_counters()
  local _, body = http("GET", self.platform, "/admin/counters")
  return json_decode(body)
end

-- Writes the settings file of a node and starts the node. A restart uses the
-- same file. Entries of extra override the default settings.
function Mesh:add_node(name, zone, extra)
  local node = { name = name, zone = zone, caller = new_address(),
    peer = new_address(), control = new_address(), admin = new_address() }
  local settings = { node = name, site = self.site, region = "region-1",
    availability_zone = zone, caller_listen = node.caller,
    peer_listen = node.peer, control_listen = node.control,
    admin_listen = node.admin, platform = self.platform, seed = run.seed,
    seed_peers = self:seed_peers() }
  for key, value in pairs(extra or {}) do settings[key] = value end
  node.settings = run.folder .. "/" .. name .. ".json"
  -- An empty table would be encoded as a JSON object instead of an array.
  if settings.seed_peers and #settings.seed_peers == 0 then
    settings.seed_peers = nil
  end
  write_file(node.settings, json_encode(settings))
  self.nodes[#self.nodes + 1] = node
  self.nodes[name] = node
  self:start_node(node)
  return node
end

-- Returns the control addresses of the first nodes, at most three.
function Mesh:seed_peers()
  local peers = {}
  for index = 1, math.min(3, #self.nodes) do
    peers[index] = self.nodes[index].control
  end
  return peers
end

function Mesh:start_node(node)
  node.pid = spawn({ run.binaries .. "/apps/gentianlug-node", "--settings",
    node.settings }, log_path(node.name))
end

-- Starts a backend server that registers with a node.
function Mesh:add_server(node, service, extra)
  local server = { node = node, service = service, address = new_address() }
  local settings = { listen = server.address, service = service,
    node_admin = node.admin }
  for key, value in pairs(extra or {}) do settings[key] = value end
  server.name = node.name .. "-server"
  server.settings = settings
  self.servers[#self.servers + 1] = server
  node.server = server
  self:start_server(server)
  return server
end

function Mesh:start_server(server)
  server.pid = mesh.start_standin("server", server.name, server.settings)
end

-- Runs the command line tool; returns its exit code and output.
function Mesh:command(words, limit_ms)
  local all = { run.binaries .. "/apps/gentianlug", "--platform",
    self.platform }
  for _, word in ipairs(words) do all[#all + 1] = word end
  -- The counter is shared by all meshes of a run, whose logs are in one folder.
  mesh.commands = (mesh.commands or 0) + 1
  local log = log_path("command-" .. mesh.commands)
  local code = wait_exit(spawn(all, log), limit_ms or 30000)
  return code, read_file(log)
end

-- Applies a base file and the overlay file of this site.
function Mesh:apply(base, overlay, author, reason)
  return self:command({ "apply", "--base", base, "--overlay",
    self.site .. "=" .. overlay, "--author", author, "--reason", reason })
end

function Mesh:status(node)
  local status, body = http("GET", node.admin, "/status", "", {}, 1000)
  if status ~= 200 then return nil end
  return json_decode(body)
end

function Mesh:version_in_force(node)
  local status = self:status(node)
  return status and status.control and status.control.config_version or 0
end

function Mesh:wait_version(version, limit_ms)
  mesh.wait_until("version " .. version .. " active on every node",
    limit_ms, function()
      for _, node in ipairs(self.nodes) do
        if self:version_in_force(node) < version then return false end
      end
      return true
    end)
end

-- Stops all nodes gracefully.
function Mesh:stop()
  for _, node in ipairs(self.nodes) do signal(node.pid, mesh.SIGTERM) end
  for _, node in ipairs(self.nodes) do
    assert(wait_exit(node.pid, 15000) == 0,
      node.name .. " did not stop gracefully")
  end
end

return mesh
