package fakekv

import (
	"encoding/json"
	"net/http"
)

func (f *Fake) addAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET /fake/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, f.Faults())
	})
	mux.HandleFunc("POST /fake/faults", f.serveFaults)
	mux.HandleFunc("GET /fake/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, f.Counts())
	})
	actions := map[string]func(){
		"compact": f.Compact, "lapse": f.LapseLeases, "save": f.Save, "restore": f.Restore,
	}
	for name, act := range actions {
		mux.HandleFunc("POST /fake/"+name, func(http.ResponseWriter, *http.Request) { act() })
	}
}

func (f *Fake) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetFaults(faults)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
