package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/poison"
	"gentianwell/core/route"
	"gentianwell/core/sched"
	"gentianwell/io/back"
)

// A suspect request looks for an idle replica every aloneInterval, for at most aloneWait
// or its job's MaxWait, whichever is shorter. Other VMs send no calls to the replica for
// reservationTime from when they receive the reservation.
const (
	aloneInterval   = 100 * time.Millisecond
	aloneWait       = 30 * time.Second
	reservationTime = 30 * time.Second
)

// aliveTimeout limits the check whether a replica still answers after a connection to it
// was lost.
const aliveTimeout = time.Second

// orderAlone is logged as the reason for the order of a suspect request, which is not
// queued.
const orderAlone sched.Reason = "alone"

func (n *run) fingerprint() poison.Fingerprint { return poison.Fingerprint(n.job.Call.Fingerprint) }

// waitForReplica waits for the replica of the next attempt. A request that is suspected
// of crashing backend servers runs alone on a replica or is refused.
func (n *run) waitForReplica(ctx context.Context) (grant, *Answer) {
	v := n.r.c.Poison.Judge(n.r.c.Now(), n.fingerprint())
	n.alone = v.Action == poison.ActionAlone
	switch v.Action {
	case poison.ActionRefuse:
		a := n.refusal(ReasonSuspect, http.StatusUnprocessableEntity, 0)
		a.Message = "refused: this request has crashed the backend servers that ran it"
		return grant{}, a
	case poison.ActionAlone:
		return n.waitAlone(ctx)
	}
	return n.r.wait(ctx, n)
}

// waitAlone waits for a replica on which nothing else is in flight.
func (n *run) waitAlone(ctx context.Context) (grant, *Answer) {
	longest := aloneWait
	if n.job.MaxWait > 0 {
		longest = min(longest, n.job.MaxWait)
	}
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	var reserved call.ReplicaID
	for {
		now := n.r.c.Now()
		d, err := n.pickAlone(now)
		if d.Replica.ID != "" && d.Replica.ID != reserved {
			reserved = d.Replica.ID
			n.r.c.Reserve(now, poison.Reservation{Replica: reserved, For: reservationTime})
		}
		switch {
		case err == nil:
			n.r.c.Router.StartedAlone(now, d.Replica.ID, float64(n.cost))
			n.r.logDecision(now, n, d, orderAlone)
			return grant{decision: d, reason: orderAlone}, nil
		case errors.Is(err, route.ErrNoReplica):
			return grant{}, n.refusal(ReasonNoReplica, http.StatusServiceUnavailable, n.r.c.RetryAfter)
		}
		if !sleep(ctx, aloneInterval) {
			n.releaseReplica(now, reserved)
			return grant{}, n.refusal(ReasonSuspect, http.StatusServiceUnavailable, n.r.c.RetryAfter)
		}
	}
}

// pickAlone chooses a replica for a request that must run alone. It chooses one on which
// the job has been tried only if there is no other.
func (n *run) pickAlone(now time.Time) (route.Decision, error) {
	d, err := n.r.c.Router.PickAlone(now, n.job.Call, n.exclude)
	if !errors.Is(err, route.ErrNoReplica) || len(n.exclude) == 0 {
		return d, err
	}
	return n.r.c.Router.PickAlone(now, n.job.Call, nil)
}

// reportFinished reports the end of the attempt to the router and ends a reservation.
func (n *run) reportFinished(now time.Time, e attemptEnd) {
	result := route.Result{Status: routeStatus(e), FirstToken: e.result.FirstLatency}
	if e.result.Ending == back.EndingSilent && n.takeover.countsAsFailure() {
		result.Status = route.StatusCanceled
	}
	if n.alone {
		n.r.c.Router.FinishedAlone(now, e.replica, float64(n.cost), result)
		n.releaseReplica(now, e.replica)
		return
	}
	n.r.c.Router.Finished(now, e.replica, float64(n.cost), result)
}

// releaseReplica tells the other VMs that they may use the replica again.
func (n *run) releaseReplica(now time.Time, id call.ReplicaID) {
	if id != "" {
		n.r.c.Reserve(now, poison.Reservation{Replica: id})
	}
}

// recordForPoison records what the attempt showed about the request: that its replica
// crashed, or that it finished. A lost connection counts as a crash only if a part of the
// request may have been sent and the replica does not answer a health check afterwards.
func (n *run) recordForPoison(ctx context.Context, t back.Target, e attemptEnd) {
	switch {
	case !e.failed():
		n.r.c.Poison.Finished(n.r.c.Now(), n.fingerprint())
		return
	case e.result.Ending != back.EndingCrashed || !e.result.BytesWritten:
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), aliveTimeout)
	defer cancel()
	if n.r.c.Alive(ctx, t) {
		return
	}
	n.crashed = true
	v := n.r.c.Poison.Crashed(n.r.c.Now(), n.fingerprint(), e.replica, n.alone)
	n.r.c.Log.WithFields(logrus.Fields{
		"event": "crash", "request": n.job.Call.ID, "replica": e.replica, "alone": n.alone,
		"next": v.Action, "reason": v.Reason, "crashes": v.Crashes, "finishes": v.Finishes,
	}).Warn("replica crashed while running a request")
}

// publishCrash tells the other VMs of a crash when the job has failed, because the caller
// may send the request again through any of them. It raises a RetryAfter to the time by
// which they know of the crash.
func (n *run) publishCrash(a *Answer) {
	if !n.crashed || a.Reason == ReasonDone {
		return
	}
	wait := n.r.c.Poison.Publish(n.r.c.Now(), n.fingerprint())
	n.r.c.PushCrashRecords()
	if a.RetryAfter > 0 {
		a.RetryAfter = max(a.RetryAfter, wait)
	}
}

// sleep waits for d and returns true, or false if ctx is canceled before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
