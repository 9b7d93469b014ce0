// Package limit holds teams' and classes' limits (requests or tokens a second)
// across VMs without asking the platform, or anybody, for each request.
//
// Each VM enforces a share of each limit with a token bucket (Local). For each
// limit one VM of the zone is the home (Home, HomeOf): it collects the demand of
// the zone's VMs and grants shares of the zone's part, each for a time (TTL).
// One zone's home is the site's home in the same way: its members are the zones,
// and each zone's home holds what it was granted in a Holder.
//
// The sum of the shares in force never exceeds the limit while there is one home:
// a share that the home lowers counts in full until it has run out, and a new
// home grants nothing until all shares of the one before have run out. A VM
// without a share has a small fallback rate; the site's home keeps back what all
// VMs' fallback rates are together (HomeConfig.KeptBack; 0 on the zones' homes).
//
// # Bounds
//
// With one home, in any time T the VMs admit at most
//
//	limit x (T + BurstTime) + (VMs that admitted) x (largest charge)
//
// plus one BurstTime of rate for each raise of a VM's share within T. With h homes for one limit at
// the same time (VMs that disagree about who lives), the first term grows h-fold
// at most. Zones cut off from the site's home each use their fixed fraction, so
// that the sum is at most limit x (2 - 1/zones).
//
// # Usage
//
//	local, err := limit.NewLocal(limit.LocalConfig{...})
//	d := local.Allow(now, limit.Charge{Key: limit.TeamTokens("judges"), Units: 300})
//	...
//	// At each interval, for each home:
//	sent := now
//	shares := askHome(home, local.Demands(now)) // over the network
//	local.Grant(now, sent, shares)
//
// and on the home:
//
//	shares := home.Report(now, member, demands)
//
// Nothing here is safe for concurrent use; time comes from the caller. The times
// of two VMs are never compared.
package limit
