package member

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseVM(t *testing.T) {
	tests := []struct {
		name, in, wantErr string
	}{
		{"good", `{"id":"e1","zone":"sala","role":"entry","address":"127.0.0.1:80","state":"live"}`, ""},
		{"no JSON", `{`, "ParseVM"},
		{"role", `{"id":"e1","role":"x","address":"127.0.0.1:80","state":"live"}`, `role "x"`},
		{"state", `{"id":"e1","role":"entry","address":"127.0.0.1:80"}`, `state ""`},
		{"address", `{"id":"e1","role":"entry","state":"live"}`, "no address"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := ParseVM([]byte(tt.in))
			if tt.wantErr != "" {
				assert.ErrorContains(t, err, tt.wantErr)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(got.ID), "e1")
		})
	}
}
