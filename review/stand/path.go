package main

import (
	"fmt"
	"net/http"
)

// paths are paths with a character that clients by the URL standard of browsers send as it is.
var paths = []string{"/pay/match|7", "/pay/a%2Fb|c", "/pay/furrow^2/a%2Fb"}

// plainPaths are paths without one.
var plainPaths = []string{"/pay/match-7", "/pay/a%2Fb-c", "/pay/furrow-2/a%2Fb"}

// changedPath sends payments whose paths have such a character. They have to arrive as they were sent.
func changedPath(s *site) ([]string, error) {
	list := paths
	if !s.trouble {
		list = plainPaths
	}
	var broken []string
	for _, v := range s.vms {
		for _, path := range list {
			id := s.newID()
			a := sendOnce(v, requestText(http.MethodPost, path, id, "amount=120"))
			s.rec.add("client: %s POST %s through %s: %s", id, path, v.name, a)
			if a.err != nil {
				return nil, a.err
			}
			for _, r := range s.runsOf(id) {
				if r.target != path {
					broken = append(broken, fmt.Sprintf("UNASKED: replica %s ran %s %s through %s, the client had sent %s", r.replica, r.method, r.target, v.name, path))
				}
			}
		}
	}
	return broken, nil
}
