-- While the platform is down nobody may act under a lease that could have been
-- taken over; when it is back, one node holds it again.
for seed = run.seed, run.seed + 19 do
  local leases = lease_world(4, seed)
  leases:advance(10000)
  assert(leases:holder() > 0)
  for round = 1, 5 do
    leases:store_down(true)
    -- From here on a contender with a connection could take over.
    leases:advance(6000)
    assert(leases:holder() == 0, "acts under a lease that it cannot renew")
    leases:advance(14000)
    leases:store_down(false)
    leases:advance(10000)
    assert(leases:holder() > 0, "nobody holds the lease after the outage")
  end
  assert(leases:most_holders() == 1, "two holders at once, seed " .. seed)
end
