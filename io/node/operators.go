package node

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/drain"
	"gentianwell/core/member"
	"gentianwell/core/route"
	"gentianwell/io/admit"
	"gentianwell/io/front"
)

// Status is the status of an entry VM as shown to operators.
type Status struct {
	VM              call.VMID       `json:"vm"`
	Zone            call.Zone       `json:"zone"`
	SettingsVersion int64           `json:"settingsVersion"`
	Ready           bool            `json:"ready"`
	Stop            drain.Status    `json:"stop"`
	Peers           int             `json:"peers"`
	Replicas        int             `json:"replicas"`
	Ejected         route.Ejections `json:"ejected"`
	// Unusable holds the VMs that get no new work from this one.
	Unusable Unusables `json:"unusable"`
}

// Unusable is a VM that gets no new work.
type Unusable struct {
	VM     call.VMID     `json:"vm"`
	Reason member.Reason `json:"reason"`
}

// Unusables is a list of VMs that get no new work.
type Unusables []Unusable

// operatorMaxHeaderBytes limits the header of an operator's request, which holds a key and a path.
const operatorMaxHeaderBytes = 16 << 10

// operatorsHTTP returns the HTTP server for operators and for the metrics. The
// metrics need no key.
func (n *Node) operatorsHTTP() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /status", n.requireOperator(n.status))
	mux.HandleFunc("POST /drain", n.requireOperator(n.startDrain))
	n.oper.Register(mux, n.requireOperator)
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, ErrorLog: front.ErrorLog(n.log),
		MaxHeaderBytes: operatorMaxHeaderBytes,
	}
	admit.Bind(srv)
	return srv
}

// requireOperator wraps a handler so that a request needs the bearer key of an
// operator; others get status 401.
func (n *Node) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		bearer, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !n.isOperator(bearer) {
			http.Error(w, `{"error":"the bearer key is no operator's"}`, http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// isOperator reports whether the key is an operator's by the start-up settings or by
// the settings in force.
func (n *Node) isOperator(bearer string) bool {
	sum := sha256.Sum256([]byte(bearer))
	if slices.Contains(n.c.OperatorKeyHashes, hex.EncodeToString(sum[:])) {
		return true
	}
	return n.follower.Current().IsOperator(bearer)
}

// Status returns the status of this VM.
func (n *Node) Status() Status {
	return Status{
		VM: n.c.ID, Zone: n.c.Zone, SettingsVersion: n.settingsVersion(), Ready: n.ready(), Stop: n.drain.Status(),
		Peers: len(n.fleet.peers()), Replicas: len(n.fleet.replicas()), Ejected: n.router.Ejected(n.now()),
		Unusable: n.fleet.unusable(),
	}
}

func (n *Node) status(w http.ResponseWriter, _ *http.Request) { n.writeJSON(w, n.Status()) }

func (n *Node) startDrain(w http.ResponseWriter, _ *http.Request) {
	n.StartDrain()
	n.writeJSON(w, n.drain.Status())
}

func (n *Node) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		n.log.WithField("event", "answer").WithError(err).Warn("answer could not be written")
	}
}
