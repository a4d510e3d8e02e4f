-- Runs the load generator (stand-in "caller").
local mesh = require("mesh")
local caller = {}
local started_callers = 0

-- Starts a caller; caller.finish returns its result.
function caller.start(settings)
  started_callers = started_callers + 1
  local name = "caller-" .. started_callers
  settings.seed = settings.seed or run.seed
  settings.order_prefix = settings.order_prefix or name
  return { pid = mesh.start_standin("caller", name, settings),
    log = run.folder .. "/" .. name .. ".log",
    limit_ms = settings.duration_ms + 30000 }
end

-- Waits for a caller to exit and returns its counts and latencies.
function caller.finish(started)
  local code = wait_exit(started.pid, started.limit_ms)
  local text = read_file(started.log)
  assert(code == 0, "caller failed: " .. text)
  return json_decode(text:match("(%b{})%s*$"))
end

function caller.run(settings)
  return caller.finish(caller.start(settings))
end

-- Returns the number of calls without a complete and correct response.
function caller.lost_calls(result)
  return result.calls + result.unsent - result.answered
end

-- Returns the CPU time of a process in microseconds.
function caller.cpu_time_us(pid)
  local file = assert(io.open("/proc/" .. pid .. "/stat"))
  local fields = file:read("a"):match("%) (.*)$")
  file:close()
  local values = {}
  for value in fields:gmatch("%S+") do values[#values + 1] = value end
  -- utime and stime, in clock ticks of 10 ms.
  return (tonumber(values[12]) + tonumber(values[13])) * 10000
end

-- Returns the records that a caller wrote to its calls_file.
function caller.read_calls(path)
  local calls = {}
  for line in io.lines(path) do calls[#calls + 1] = json_decode(line) end
  return calls
end

return caller
