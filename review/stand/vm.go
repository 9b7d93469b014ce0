package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports of the entry VMs are the same on all; each has a loopback address of its own.
const (
	frontendPort  = 8227
	readinessPort = 8220
	controlPort   = 8229
	storePort     = 8223
	replicaPort   = 8689
	metricsPort   = "9464"
)

// vm is an entry VM: the project's program as a process of its own.
type vm struct {
	name, zone, ip, store string
	seeds                 []string
	dir                   string

	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

func (v *vm) frontend() string { return fmt.Sprintf("%s:%d", v.ip, frontendPort) }

// settings are those of a machine of the small deployments.
func (v *vm) settings() string {
	return strings.Join([]string{
		"nodeName=" + v.name, "role=entry", "machineClass=edge", "serves=edge,control", "ip=" + v.ip, "zone=" + v.zone, "region=r",
		"zones.a=r", "zones.b=r", "zones.c=r",
		"listen.frontend=" + v.frontend(), fmt.Sprintf("listen.readiness=%s:%d", v.ip, readinessPort),
		fmt.Sprintf("listen.controlPlane=%s:%d", v.ip, controlPort), "internalPorts=7340,7355",
		"seedNodes=" + strings.Join(v.seeds, ","), "bootstrap=true", "faultCounted=false",
		"limits.cpuShare=0.4", "limits.cpuCores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entryMode=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.maxStretchMs=5000", "bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2",
		"bounds.budgetWindowS=10", "bounds.budgetSlack=58", "bounds.recoverS=12", "bounds.passMs=120", "bounds.reuseWindowS=10",
		"platform.address=" + v.store, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.minTtlMs=1000", "",
	}, "\n")
}

// start starts the process with the command of deploy/system.toml.
func (v *vm) start() error {
	path := filepath.Join(v.dir, v.name+".conf")
	if err := os.WriteFile(path, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	v.log = log
	v.cmd = exec.Command("target/gentianwell", "entry", "--metrics-port", metricsPort)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.dir, "GENTIANWELL_SETTINGS=" + path}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func() {
		_ = v.cmd.Wait()
		_ = log.Close()
		close(v.exited)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (v *vm) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.exited
}

func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/ready", v.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
