-- While the platform is down, no node may act under a lease that another node
-- could have taken over. Once the platform is back, one node holds it again.
for seed = run.seed, run.seed + 19 do
  local leases = lease_world(4, seed)
  leases:advance(10000)
  assert(leases:holder() > 0)
  for round = 1, 5 do
    leases:store_down(true)
    -- From now on a contender with access to the platform could take over.
    leases:advance(6000)
    assert(leases:holder() == 0,
      "a node acts under a lease that it cannot renew")
    leases:advance(14000)
    leases:store_down(false)
    leases:advance(10000)
    assert(leases:holder() > 0, "nobody holds the lease after the outage")
  end
  assert(leases:most_holders() == 1, "two holders at once, seed " .. seed)
end
