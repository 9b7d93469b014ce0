package conf

import (
	"encoding/json"

	"github.com/juju/errors"

	"gentianwell/core/tree"
)

// firstGeneration is the generation of a tree that was never restored.
const firstGeneration = "0"

// head is the value of HeadKey.
type head struct {
	tree.Head
	// Generation names the keys that hold the branches. A restore writes new
	// ones and then switches over in one step.
	Generation string `json:"generation"`
	// Writes is the number of branches that the change wrote or removed.
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
