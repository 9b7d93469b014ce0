package fakes

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLedgerLostReply(t *testing.T) {
	tests := []struct {
		name   string
		remove bool
		want   int
	}{
		{"books each time", false, 2},
		{"removes duplicates", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := NewLedger(LedgerConfig{ID: "ledger-1", RemovesDuplicates: tt.remove})
			assert.NilError(t, err)
			srv := httptest.NewServer(p.Handler())
			defer srv.Close()
			p.Inject(Fault{Kind: FaultCut, AfterTokens: 1, Times: 1})
			for i, lost := range []bool{true, false} {
				req, err := http.NewRequest("POST", srv.URL+"/payments", strings.NewReader(`{"amount":5}`))
				assert.NilError(t, err)
				req.GetBody = nil
				req.Header["Idempotency-Key"] = []string{"k"}
				res, err := http.DefaultTransport.RoundTrip(req)
				assert.Equal(t, err != nil, lost, "call %d", i)
				if err == nil {
					assert.Equal(t, res.StatusCode, http.StatusCreated)
					assert.NilError(t, res.Body.Close())
				}
			}
			assert.Equal(t, len(p.Bookings().Bookings), tt.want)
			assert.Equal(t, p.Runs().Keys["k"], 2)
		})
	}
}
