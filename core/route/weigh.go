package route

import (
	"math"
	"time"
)

const (
	// heldTime is the time constant with which the belief that a replica holds a prefix loses
	// its weight while its memory is half used. The engines evict what was used least recently;
	// with a full memory it is gone within a few seconds.
	heldTime = 20 * time.Second
	// heldFull is the pressure from which memory counts as full, and heldTimeFull the time
	// constant then.
	heldFull, heldTimeFull = 0.9, 3 * time.Second
	// fillPrice is the price of filling another replica's memory with a prefix, as a fraction
	// of the time to read it, if the memory is full: what is evicted has to be read again if
	// it is used again, which about half of all prefixes are within their time in memory.
	fillPrice = 0.5
	// popularCopies is the number of replicas with a copy from which another one is worth
	// nothing and costs nothing to lose: the prefix is found everywhere.
	popularCopies = 3
	// waitTime is the time constant with which the belief about a wait returns to the mean.
	waitTime = 2 * time.Second
)

// weighInput is what is known of one replica for one call.
type weighInput struct {
	// OwnTokens is the length of the prompt's part that only this call has, SharedTokens that
	// of the part that calls share.
	OwnTokens, SharedTokens int
	// Held is true if the replica was last known to hold the shared part, HeldAge ago. Copies
	// is the number of replicas that are believed to hold it.
	Held    bool
	HeldAge time.Duration
	Copies  int
	// Wait is the time to the first token without reading the prompt, by a report of the age
	// WaitAge. MeanWait is that of the usable replicas.
	Wait, MeanWait time.Duration
	WaitAge        time.Duration
	// ReadPerToken is the time to read a token at this replica.
	ReadPerToken time.Duration
	// Pressure is the used part of the replica's memory, from 0 to 1.
	Pressure float64
	// Running is the mean number of requests that run on a replica.
	Running float64
	// Room is false if the call does not fit into the replica's slots or memory, Leaving true
	// if the replica is about to leave.
	Room, Leaving bool
}

// WeighReason says what decided a replica's cost.
type WeighReason string

// Reasons of a cost. WeighNoRoom and WeighLeaving: the replica is not to be used.
const (
	WeighNoRoom  WeighReason = "noRoom"
	WeighLeaving WeighReason = "leaving"
	WeighSaved   WeighReason = "readingSaved"
	WeighRead    WeighReason = "reading"
	WeighWait    WeighReason = "wait"
)

// weighed is the cost of sending a call to a replica.
type weighed struct {
	// Usable is false if the replica is not to be used.
	Usable bool
	// FirstToken is the expected time to the first token, Cost that and the price of the
	// memory that the call fills.
	FirstToken, Cost time.Duration
	// Unread is the expected number of tokens to be read, Saved that of those which need not.
	Unread, Saved float64
	Reason        WeighReason
}

// weigh weighs the reading that a replica saves a call against the wait and the room there.
func weigh(in weighInput) weighed {
	switch {
	case !in.Room:
		return weighed{Reason: WeighNoRoom}
	case in.Leaving:
		return weighed{Reason: WeighLeaving}
	}
	held := heldChance(in)
	out := weighed{Usable: true, Saved: held * float64(in.SharedTokens)}
	out.Unread = float64(in.OwnTokens+in.SharedTokens) - out.Saved
	wait := float64(in.MeanWait) + (float64(in.Wait)-float64(in.MeanWait))*decay(in.WaitAge, waitTime)
	read := out.Unread * float64(in.ReadPerToken)
	out.FirstToken = time.Duration(wait + read)
	fill := (1 - held) * float64(in.SharedTokens) * float64(in.ReadPerToken) * fillPrice * min(1, max(0, in.Pressure))
	if in.Copies >= popularCopies {
		fill = 0
	}
	// Engines read prompts between the tokens of the requests that run, so that each of these waits for
	// what is read again.
	fill += (1 - held) * float64(in.SharedTokens) * float64(in.ReadPerToken) * in.Running
	out.Cost = out.FirstToken + time.Duration(fill)
	switch saved := out.Saved * float64(in.ReadPerToken); {
	case saved > max(wait, read):
		out.Reason = WeighSaved
	case wait > read:
		out.Reason = WeighWait
	default:
		out.Reason = WeighRead
	}
	return out
}

// heldChance returns the probability that the replica still holds the shared part.
func heldChance(in weighInput) float64 {
	if !in.Held || in.SharedTokens == 0 {
		return 0
	}
	full := min(1, max(0, (in.Pressure-0.5)/(heldFull-0.5)))
	timeConstant := math.Exp((1-full)*math.Log(heldTime.Seconds()) + full*math.Log(heldTimeFull.Seconds()))
	return math.Exp(-max(0, in.HeldAge.Seconds()) / timeConstant)
}
