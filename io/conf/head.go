package conf

import (
	"encoding/json"

	"github.com/juju/errors"

	"gentianwell/core/tree"
)

// firstGeneration is the generation of a tree that has never been restored.
const firstGeneration = "0"

// head is the value of HeadKey.
type head struct {
	tree.Head
	// Generation is the part of the branch keys that identifies the current set
	// of branches. A restore writes all branches under a new generation and then
	// switches to it by writing the head.
	Generation string `json:"generation"`
	// Writes is the number of branches that the change wrote or deleted.
	Writes int `json:"writes"`
}

func parseHead(raw []byte) (head, error) {
	var h head
	if err := json.Unmarshal(raw, &h); err != nil {
		return head{}, errors.NewNotValid(err, "conf: head")
	}
	if h.Version <= 0 || h.Generation == "" || len(h.Recent) > tree.MaxRecent {
		return head{}, errors.NotValidf("conf: head of version %d, generation %q", h.Version, h.Generation)
	}
	return h, nil
}
