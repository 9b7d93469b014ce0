package node

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/poison"
	"gentianwell/core/spread"
)

// heard hands the items that changed to the parts they are for.
func (n *Node) heard(now time.Time, changed spread.Items) {
	for _, item := range changed {
		if err := n.hear(now, item); err != nil {
			n.log.WithFields(logrus.Fields{
				"event": "spread", "kind": item.Kind, "key": item.Key, "cause": err,
			}).Warn("item not understood")
		}
	}
}

func (n *Node) hear(now time.Time, item spread.Item) error {
	switch item.Kind {
	case kindStatement, kindOpinion:
		return n.members.hear(now, item)
	case poison.Kind:
		return n.poison.Merge(now, poison.Item{Key: item.Key, Version: item.Version, Value: item.Value})
	case poison.ReservationKind:
		r, err := poison.ParseReservation(item.Value)
		if err != nil {
			return err
		}
		if r.By != n.c.ID {
			n.router.Reserve(r.Replica, now.Add(r.For))
		}
	}
	return nil
}

// spreadSuspects puts this VM's records of requests that crashed backend servers
// into the gossip, and returns them.
func (n *Node) spreadSuspects(now time.Time) spread.Items {
	var items spread.Items
	for _, item := range n.poison.Pending(now) {
		items = append(items, spread.Item{
			ID: spread.ID{Kind: poison.Kind, Key: item.Key}, Version: item.Version, Value: item.Value, Expires: item.Expires,
		})
	}
	n.store.Merge(now, items)
	return items
}

// pushSuspects tells all VMs at once, as a caller whose request has just failed
// may send it again through any of them. Crashes are rare enough for that.
func (n *Node) pushSuspects() {
	now := n.now()
	if items := n.spreadSuspects(now); len(items) > 0 {
		n.gossip.Push(now, items)
	}
}

// reserve tells the others to keep their calls off a replica, or no longer.
func (n *Node) reserve(now time.Time, r poison.Reservation) {
	r.By = n.c.ID
	raw, err := json.Marshal(r)
	if err != nil {
		n.log.WithField("event", "reservation").WithError(err).Error("reservation not made")
		return
	}
	n.store.Put(now, spread.Item{
		ID:      spread.ID{Kind: poison.ReservationKind, Key: string(r.Replica)},
		Version: uint64(now.UnixNano()), Value: raw, Expires: now.Add(poison.MaxReservation),
	})
}
