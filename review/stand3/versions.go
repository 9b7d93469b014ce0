package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	clientCount = 200
	// settle is how long the deployment serves before the release.
	settle = 18 * time.Second
	// releaseGap is the time between two replicas that are replaced, one after the other.
	releaseGap = time.Second
	// linger is how long a leaving replica serves on.
	linger = 11500 * time.Millisecond
	// maxJoined is how many streams may hold events of two versions.
	maxJoined = 2
)

// versions stops and starts one VM, and replaces all replicas by those of another version, one after the
// other, while clients stream over connections that they keep. Without trouble, the VM is not stopped. It
// reports whether more than maxJoined clients got one stream from replicas of two versions.
func versions(s *site) (bool, error) {
	var old, all []*replica
	defer func() {
		for _, r := range all {
			r.close()
		}
	}()
	for i := range poolCount {
		r, err := s.startReplica(i, "v1")
		if err != nil {
			return false, err
		}
		old, all = append(old, r), append(all, r)
	}
	if err := s.startVMs(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var complete, incomplete, joined int
	ended := make(chan struct{})
	go s.balance(ended)
	for c := range clientCount {
		clients.Go(func() {
			time.Sleep(time.Duration(s.intn(13000)) * time.Millisecond)
			client := s.newClient()
			defer client.close()
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				default:
				}
				name := fmt.Sprintf("c%03d-%d", c, n)
				got := client.ask(name)
				mu.Lock()
				if got.complete {
					complete++
				} else {
					incomplete++
				}
				if text := got.joins(); text != "" {
					joined++
					s.note("JOINED   %s: events of two versions in one stream: %s", name, text)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(settle)
	restarted := make(chan error, 1)
	if s.trouble {
		go func() { restarted <- s.vms[vmCount-1].restart() }()
	} else {
		restarted <- nil
	}
	for i, r := range old {
		next, err := s.startReplica(poolCount+i, "v2")
		if err != nil {
			return false, err
		}
		all = append(all, next)
		time.Sleep(releaseGap)
		r.leave(linger)
	}
	close(ended)
	clients.Wait()
	if err := <-restarted; err != nil {
		return false, err
	}
	text := fmt.Sprintf("%d streams complete, %d not, %d with events of two versions", complete, incomplete, joined)
	s.note("%s", text)
	fmt.Println(text)
	if complete == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return joined > maxJoined, nil
}

// joins says where events of two versions follow each other; empty if they do not.
func (s *stream) joins() string {
	for i := 1; i < len(s.versions); i++ {
		if s.versions[i] != s.versions[i-1] {
			return fmt.Sprintf("event %d by %s, event %d by %s", s.ids[i-1], s.versions[i-1], s.ids[i], s.versions[i])
		}
	}
	return ""
}
