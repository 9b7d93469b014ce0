// Package limit enforces rate limits of teams and classes (requests or tokens a
// second) across VMs without asking the platform or another VM for each call.
//
// Each VM enforces a share of each limit with a token bucket (Local). For each
// limit, one VM of the zone is the owner (Owner) and runs an Allocator: it
// collects the demand of the zone's VMs and grants shares of the zone's part,
// each valid for a TTL. The site's limit is divided between the zones in the same
// way: one VM of the site is the site's owner of the limit, its members are the
// zones, and each zone's owner keeps what it was granted in a Holder.
//
// The sum of the valid shares never exceeds the limit while it has one owner: a
// share that the allocator lowers counts in full until it has expired, and a new
// owner grants nothing until all shares of the previous one have expired. A VM
// without a share has a small fallback rate; the site's allocator withholds the
// sum of all VMs' fallback rates (AllocatorConfig.ReservedFraction; 0 for the
// zones' allocators).
//
// # Bounds
//
// With one owner, in any time T the VMs admit at most
//
//	limit x (T + BurstTime) + (VMs that admitted) x (largest charge)
//
// plus one BurstTime of rate for each raise of a VM's share within T. With n
// owners of one limit at the same time (because VMs disagree about which VMs are
// live), the first term grows at most n-fold. Zones cut off from the site's owner
// each use their fixed fraction, so that the sum is at most
// limit x (2 - 1/zones).
//
// # Usage
//
//	local, err := limit.NewLocal(limit.LocalConfig{...})
//	d := local.Allow(now, limit.Charge{Key: limit.TeamTokens("judges"), Units: 300})
//	...
//	// At each interval, for each owner:
//	sent := now
//	shares := askOwner(owner, local.Demands(now)) // over the network
//	local.Grant(now, sent, shares)
//
// and on the owner:
//
//	shares := allocator.Report(now, member, demands)
//
// Nothing here is safe for concurrent use; time comes from the caller. Timestamps
// of different VMs are never compared.
package limit
