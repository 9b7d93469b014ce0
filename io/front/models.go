package front

import (
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
)

// modelList is the body of a list of models of the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      call.Model `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	OwnedBy string     `json:"owned_by"`
}

// models answers with the list of models.
func (s *Server) models(w http.ResponseWriter, r *request) {
	if errResp := s.identify(r); errResp != nil {
		s.refuse(w, r, errResp)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.c.Models() {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: "gentianwell"})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(call.OutcomeRan))
	if err := json.NewEncoder(w).Encode(list); err != nil {
		s.c.Log.WithFields(logrus.Fields{"event": "answer", "request": r.id}).WithError(err).Warn("answer not written")
	}
}
