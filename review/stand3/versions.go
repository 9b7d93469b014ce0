package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	clientCount = 60
	// settle is how long the deployment serves before the release: longer than a stream may be taken up.
	settle = 18 * time.Second
	// releaseShare of the replicas are replaced by one release, one after the other with releaseGap
	// between them. Releases follow each other until all are replaced.
	releaseShare = 0.45
	releaseGap   = time.Second
	// killShare of the VMs are killed at the same moment, killAfter the last release. Their
	// processes are started again after restartDelay.
	killShare    = 0.55
	killAfter    = 500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	// runOn is for how long clients begin streams after the last release.
	runOn = 2 * time.Second
	// rollGap is the time between two VMs that are stopped in turn, from the beginning of the last
	// rollFrom replicas' release on. linger is how long a leaving replica serves on, which is more than
	// drainMs.
	rollGap  = 1300 * time.Millisecond
	rollFrom = 6
	// rollShare of the VMs are stopped in turn, and killed after grace if they have not exited by then.
	rollShare = 0.45
	grace     = 8 * time.Second
	linger    = 3500 * time.Millisecond
)

// versions replaces all replicas by those of another version while clients stream, and kills many VMs
// at the same moment after that. It reports whether a client got one stream from replicas of two versions,
// or events that are not in order.
func versions(s *site) (bool, error) { return release(s, false) }

// rolled does the same with planned work only: leaving replicas exit in time, and instead of the kill the
// VMs are stopped and started in turn.
func rolled(s *site) (bool, error) { return release(s, true) }

func release(s *site, planned bool) (bool, error) {
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
	var clients, roll sync.WaitGroup
	var mu sync.Mutex
	var complete, incomplete, joined, disordered int
	ended := make(chan struct{})
	for c := range clientCount {
		clients.Go(func() {
			time.Sleep(time.Duration(s.intn(3000)) * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				default:
				}
				name := fmt.Sprintf("c%02d-%d", c, n)
				got := s.ask(name)
				mu.Lock()
				if got.complete {
					complete++
				} else {
					incomplete++
				}
				if text := got.joins(); text != "" {
					joined++
					s.note("BROKEN   %s: events of two versions in one stream: %s", name, text)
				}
				if text := got.disorder(); text != "" {
					disordered++
					s.note("BROKEN   %s: %s", name, text)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(settle)
	pool := float64(poolCount)
	share := int(releaseShare * pool)
	for i, r := range old {
		if i%share == 0 {
			s.note("release %d begins", i/share+1)
		}
		next, err := s.startReplica(poolCount+i, "v2")
		if err != nil {
			return false, err
		}
		all = append(all, next)
		if planned && s.trouble && i == len(old)-rollFrom {
			roll.Go(func() { s.roll() })
		}
		time.Sleep(releaseGap)
		if planned {
			r.leave(linger)
		} else {
			r.leave(0)
		}
	}
	if s.trouble && !planned {
		time.Sleep(killAfter)
		vms := float64(vmCount)
		killed := s.vms[:int(killShare*vms)]
		s.note("%d of %d VMs are killed", len(killed), vmCount)
		for _, v := range killed {
			_ = v.process.Process.Kill()
		}
		for _, v := range killed {
			v.kill()
		}
		time.Sleep(restartDelay)
		for _, v := range killed {
			if err := v.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(runOn)
	close(ended)
	clients.Wait()
	roll.Wait()
	s.note("%d streams complete, %d not, %d with events of two versions, %d out of order", complete, incomplete, joined, disordered)
	fmt.Printf("%d streams complete, %d not, %d with events of two versions, %d out of order\n", complete, incomplete, joined, disordered)
	if complete == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return joined+disordered > 0, nil
}

// roll stops the VMs in turn with SIGTERM and starts each again once it has exited.
func (s *site) roll() {
	var all sync.WaitGroup
	defer all.Wait()
	vms := float64(vmCount)
	for _, v := range s.vms[:int(rollShare*vms)] {
		all.Go(func() {
			s.note("%s gets SIGTERM", v.name())
			_ = v.process.Process.Signal(syscall.SIGTERM)
			kill := time.AfterFunc(grace, func() { _ = v.process.Process.Kill() })
			_ = v.process.Wait()
			kill.Stop()
			s.note("%s has exited", v.name())
			time.Sleep(restartDelay)
			if err := v.start(); err != nil {
				s.note("%s does not start: %v", v.name(), err)
			}
		})
		time.Sleep(rollGap)
	}
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

// disorder says which event is missing or comes twice; empty if none is.
func (s *stream) disorder() string {
	for i, id := range s.ids {
		if id != i+1 {
			return fmt.Sprintf("event %d at place %d", id, i+1)
		}
	}
	if s.complete && len(s.ids) != eventCount {
		return fmt.Sprintf("complete after event %d of %d", len(s.ids), eventCount)
	}
	return ""
}
