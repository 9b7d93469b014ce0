package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is a process of the project's own program, started by the command of the deploy file.
type vm struct {
	name, settings           string
	callers, readiness, peer string
	cmd                      *exec.Cmd
	done                     chan struct{}
	mu                       sync.Mutex
	ended                    bool
}

// freePort returns a port of the loopback address that is free now.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// metricsPort is the one that the command of the deploy file names.
const metricsPort = 9464

func loopbackIP(network, vm int) string { return fmt.Sprintf("127.%d.%d.1", network, 10+vm) }

// freeNetwork returns the second byte of loopback addresses at which the port for metrics is free for
// some VMs, also while another case is running.
func freeNetwork(vms int) (int, error) {
	for try := range 100 {
		network := 1 + (os.Getpid()+try)%250
		free := true
		for i := range vms {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackIP(network, i), metricsPort))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return 0, fmt.Errorf("no loopback addresses at which port %d is free", metricsPort)
}

// newVMs chooses the addresses of some VMs and writes their settings files into dir. Ports are the
// same on all machines, so each VM has a loopback address of its own.
func newVMs(n int, dir, storeAddress string) ([]*vm, error) {
	ports := make([]int, 3)
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	network, err := freeNetwork(n)
	if err != nil {
		return nil, err
	}
	zones := []string{"kigali-a", "kigali-b", "kigali-c"}
	out := make([]*vm, n)
	var seeds []string
	for i := range out {
		ip := loopbackIP(network, i)
		out[i] = &vm{
			name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), settings: filepath.Join(dir, fmt.Sprintf("node-%d.conf", i)),
			callers: fmt.Sprintf("%s:%d", ip, ports[0]), readiness: fmt.Sprintf("%s:%d", ip, ports[1]), peer: fmt.Sprintf("%s:%d", ip, ports[2]),
		}
		if len(seeds) < 3 {
			seeds = append(seeds, out[i].peer)
		}
	}
	for i, v := range out {
		ip, _, _ := strings.Cut(v.callers, ":")
		text := strings.Join([]string{
			"nodeName=" + v.name, "role=entry", "machineClass=edge", "serves=edge,control", "ip=" + ip, "zone=" + zones[i%3], "region=kigali",
			"listen.frontend=" + v.callers, "listen.readiness=" + v.readiness, "listen.controlPlane=" + v.peer,
			"seedNodes=" + strings.Join(seeds, ","), "bootstrap=true", "faultCounted=false",
			"limits.cpuShare=0.4", "limits.cpuCores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
			"discovery=platform", "entryMode=vip", "heartbeatMs=1200",
			"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
			"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
			"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
			"bounds.maxStretchMs=5000", "bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2",
			"bounds.budgetWindowS=10", "bounds.budgetSlack=58", "bounds.recoverS=12", "bounds.passMs=120", "bounds.reuseWindowS=10",
			"platform.address=" + storeAddress, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
			"platform.historyS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000", "",
		}, "\n")
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// start starts the process in the folder of the repository, as the platform does.
func (v *vm) start() error {
	log, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/gentianwell", "entry", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GENTIANWELL_SETTINGS=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done, v.ended = cmd, done, false
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		v.mu.Lock()
		v.ended = true
		v.mu.Unlock()
		close(done)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.ended {
		return nil
	}
	return v.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (v *vm) kill() {
	if v.cmd == nil {
		return
	}
	_ = v.signal(syscall.SIGKILL)
	<-v.done
}

// ready asks as the platform's balancer does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.readiness + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all VMs are ready.
func waitReady(vms []*vm, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, v := range vms {
			all = all && v.ready()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the VMs are not ready after %s", limit)
}
