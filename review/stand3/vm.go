package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// grace is the time from SIGTERM to SIGKILL, restartDelay that before a process is started again.
	grace        = 8 * time.Second
	restartDelay = 300 * time.Millisecond
)

// vm is an entry VM: a process of the project's own program.
type vm struct {
	site     *site
	number   int
	settings string
	process  *exec.Cmd
	// misses counts the questions in a row to which the VM was not ready.
	misses atomic.Int64
}

func (v *vm) name() string { return fmt.Sprintf("edge-%d", v.number) }

func (v *vm) zone() string { return zones[v.number%len(zones)] }

func (v *vm) address(port int) string { return v.site.address(1, v.number+1, port) }

// settingsText is the settings file, with the bounds of ibimenyetso-fleet.
func (v *vm) settingsText() string {
	ip, _, _ := strings.Cut(v.address(callerPort), ":")
	seeds := make([]string, 0, 3)
	for _, other := range []int{1, 2, 3} {
		seeds = append(seeds, v.site.address(1, other, peerPort))
	}
	lines := []string{
		"nodeName=" + v.name(), "role=entry", "machineClass=edge", "serves=edge,control", "ip=" + ip, "zone=" + v.zone(), "region=kigali",
		"listen.frontend=" + v.address(callerPort), "listen.readiness=" + v.address(readyPort), "listen.controlPlane=" + v.address(peerPort),
		"seedNodes=" + strings.Join(seeds, ","), "bootstrap=true", "limits.cpuShare=0.4", "limits.cpuCores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		"discovery=platform", "entryMode=vip", "heartbeatMs=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
		"bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=58", "bounds.recoverS=12", "bounds.passMs=120", "bounds.reuseWindowS=10",
		"platform.address=" + v.site.store.address, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.minTtlMs=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

func (v *vm) start() error {
	v.process = exec.Command(v.site.program, "entry", "--metrics-port", metricsPort)
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.site.dir, "GENTIANWELL_SETTINGS=" + v.settings}
	// The process dies with this one, should this one be killed.
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return err
	}
	v.site.note("%s started", v.name())
	return nil
}

// kill ends the process as a kill of the platform does.
func (v *vm) kill() {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Kill()
	_ = v.process.Wait()
	v.process = nil
}

// restart stops the process as planned work does, and starts it again.
func (v *vm) restart() error {
	v.site.note("%s gets SIGTERM", v.name())
	_ = v.process.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(grace, func() { _ = v.process.Process.Kill() })
	_ = v.process.Wait()
	kill.Stop()
	v.site.note("%s has exited", v.name())
	time.Sleep(restartDelay)
	return v.start()
}

func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + v.address(readyPort) + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
