package poison

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// ReservationKind is the kind of gossip items that hold reservations; their key is
// the replica's id.
const ReservationKind = "reserved"

// MaxReservation is the longest time of one reservation.
const MaxReservation = time.Minute

// Reservation asks other VMs to send no calls to a replica on which a suspect
// request is to run alone.
type Reservation struct {
	Replica call.ReplicaID `json:"replica"`
	By      call.VMID      `json:"by"`
	// For is how long the reservation holds from when it is received; zero ends it.
	For time.Duration `json:"for"`
}

// ParseReservation reads a reservation from JSON.
//
// Errors: NotValid.
func ParseReservation(value []byte) (Reservation, error) {
	var r Reservation
	if err := json.Unmarshal(value, &r); err != nil {
		return Reservation{}, errors.NewNotValid(err, "ParseReservation: cannot decode the JSON")
	}
	if r.Replica == "" || r.By == "" || r.For < 0 || r.For > MaxReservation {
		return Reservation{}, errors.NotValidf("ParseReservation: replica %q, by %q (both must be set), for %s (must be from 0 to %s)",
			r.Replica, r.By, r.For, MaxReservation)
	}
	return r, nil
}
