-- A lease expires while its holder is paused: another node takes over, the
-- paused one does not act after it resumes, and two nodes never hold the lease
-- at the same time.
for seed = run.seed, run.seed + 19 do
  local leases = lease_world(5, seed)
  leases:lose_answers(0.1)
  leases:advance(10000)
  for round = 1, 10 do
    local paused = leases:holder()
    assert(paused > 0, "nobody holds the lease, seed " .. seed)
    local epoch = leases:epoch()
    leases:pause(paused)
    leases:advance(15000)
    assert(leases:holder() > 0 and leases:holder() ~= paused,
      "no takeover from a paused holder, seed " .. seed)
    assert(leases:epoch() > epoch, "takeover without a higher epoch")
    leases:resume(paused)
    leases:advance(draw(0, 4000))
  end
  assert(leases:most_holders() == 1, "two holders at once, seed " .. seed)
end
