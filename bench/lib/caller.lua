-- Runs the load caller stand-in.
local mesh = require("mesh")
local caller = {}
local runs = 0

-- Starts a caller; its result is read by caller.finish.
function caller.start(settings)
  runs = runs + 1
  local name = "caller-" .. runs
  settings.seed = settings.seed or run.seed
  settings.order_prefix = settings.order_prefix or name
  return { pid = mesh.start_standin("caller", name, settings),
    log = run.folder .. "/" .. name .. ".log",
    limit_ms = settings.duration_ms + 30000 }
end

-- Waits for a caller and returns its counts and latencies.
function caller.finish(started)
  local code = wait_exit(started.pid, started.limit_ms)
  local text = read_file(started.log)
  assert(code == 0, "caller failed: " .. text)
  return json_decode(text:match("(%b{})%s*$"))
end

function caller.run(settings)
  return caller.finish(caller.start(settings))
end

-- Returns the calls that did not end with their own whole answer.
function caller.lost(result)
  return result.calls + result.unsent - result.answered
end

-- Returns the processor time that a process has used, in microseconds.
function caller.cpu_us(pid)
  local file = assert(io.open("/proc/" .. pid .. "/stat"))
  local fields = file:read("a"):match("%) (.*)$")
  file:close()
  local values = {}
  for word in fields:gmatch("%S+") do values[#values + 1] = word end
  -- Ticks of 10 ms in user and in system mode.
  return (tonumber(values[12]) + tonumber(values[13])) * 10000
end

-- Returns the calls that a caller wrote to its calls_file.
function caller.calls(path)
  local calls = {}
  for line in io.lines(path) do calls[#calls + 1] = json_decode(line) end
  return calls
end

return caller
