package call

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCallValidate(t *testing.T) {
	good := Call{ID: "r", Team: "t", Model: "m", Tier: 7}
	assert.NilError(t, good.Validate())
	tests := []struct {
		name   string
		change func(*Call)
		want   string
	}{
		{"id", func(c *Call) { c.ID = "" }, "empty ID"},
		{"team", func(c *Call) { c.Team = "" }, "empty Team"},
		{"model", func(c *Call) { c.Model = "" }, "empty Model"},
		{"tier", func(c *Call) { c.Tier = 8 }, "Tier 8"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := good
			tt.change(&c)
			assert.ErrorContains(t, c.Validate(), tt.want)
		})
	}
}
