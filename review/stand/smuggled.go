package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const smuggledRounds = 3

// smuggled sends, on a kept connection, a payment and then a request whose body holds the text of
// another request. With trouble, that request has two framings: by its length the text is its body, by
// its chunks the text follows it. The text is no request of the client, so no replica may run it.
func smuggled(s *site) ([]string, error) {
	var broken []string
	for round := range smuggledRounds {
		for _, v := range s.vms {
			first, outer, inner := s.newID(), s.newID(), s.newID()
			text := requestText(http.MethodPost, fmt.Sprintf("/pay/inner-%d", round), inner, "amount=120")
			if s.trouble && round == 0 {
				// For comparison: without the empty line, the router refuses the two framings.
				if err := sendSmuggling(s, v, "", s.newID(), s.newID(), text); err != nil {
					return nil, err
				}
				if n := len(s.runsOf(inner)); n != 0 {
					return nil, fmt.Errorf("the request without an empty line before it ran %d times", n)
				}
			}
			if err := sendSmuggling(s, v, "\r\n", first, outer, text); err != nil {
				return nil, err
			}
			for _, r := range s.runsOf(inner) {
				broken = append(broken, fmt.Sprintf("UNASKED: replica %s ran %s %s, id %s, through %s: text in the body of %s, sent by no client", r.replica, r.method, r.target, r.id, v.name, outer))
			}
		}
	}
	return broken, nil
}

// sendSmuggling sends the payment before and the outer request, with what comes before its head.
func sendSmuggling(s *site, v *vm, before, first, outer, inner string) error {
	c, err := dialVM(v)
	if err != nil {
		return err
	}
	defer c.close()
	a := c.send(requestText(http.MethodPost, "/pay/first", first, "amount=1"))
	s.rec.add("client: %s POST /pay/first through %s: %s", first, v.name, a)
	if a.status != http.StatusOK {
		return fmt.Errorf("the payment before got %s", a)
	}
	body := "0\r\n\r\n" + inner
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if s.trouble {
		framing += "Transfer-Encoding: chunked\r\n"
	}
	head := fmt.Sprintf("POST /pay/outer HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n%s\r\n", host, outer, apiKey, framing)
	// An empty line may precede a request; servers ignore it (RFC 9112, 2.2).
	if _, err := io.WriteString(c.conn, before+head+body); err != nil {
		return err
	}
	s.rec.add("client: %s POST /pay/outer through %s, %q before it, framing %q, body %q", outer, v.name, before, framing, body)
	for n := 1; ; n++ {
		a := c.read(time.Second)
		s.rec.add("client: answer %d on that connection: %s", n, a)
		if a.err != nil || a.close {
			return nil
		}
	}
}

// runsOf returns the runs of a request.
func (s *site) runsOf(id string) []run {
	var out []run
	for _, p := range s.replicas() {
		for _, r := range p.ran() {
			if r.id == id {
				out = append(out, r)
			}
		}
	}
	return out
}
