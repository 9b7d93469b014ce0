package origin

import "gentianwell/core/call"

// Stream is where a stream began.
type Stream struct {
	Service call.Model   `json:"service"`
	Version call.Version `json:"version"`
}
