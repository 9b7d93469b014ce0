package poison

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// ReservationKind is the kind of the reservations' items in gossip; their key is
// the replica's id.
const ReservationKind = "reserved"

// MaxReservation is the longest time that a replica can be reserved at once.
const MaxReservation = time.Minute

// Reservation keeps other VMs' calls off a replica on which a suspect is to run alone.
type Reservation struct {
	Replica call.ReplicaID `json:"replica"`
	By      call.VMID      `json:"by"`
	// For is how long it holds from when it is heard; zero ends it.
	For time.Duration `json:"for"`
}

// ParseReservation reads a reservation from JSON.
//
// Errors: NotValid.
func ParseReservation(value []byte) (Reservation, error) {
	var r Reservation
	if err := json.Unmarshal(value, &r); err != nil {
		return Reservation{}, errors.NewNotValid(err, "ParseReservation")
	}
	if r.Replica == "" || r.By == "" || r.For < 0 || r.For > MaxReservation {
		return Reservation{}, errors.NotValidf("ParseReservation: %q by %q for %s", r.Replica, r.By, r.For)
	}
	return r, nil
}
