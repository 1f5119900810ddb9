package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"gooseberrylane.example/internal/loopback"
)

// Bounds of the small deployments, from the users' sheets.
const (
	drainBound       = 3 * time.Second
	configApplyBound = 3 * time.Second
	stabilityWindow  = 4 * time.Second
	retryRatio       = 0.2
	retrySlack       = 129
	retryWindow      = 10 * time.Second
	graceBound       = 6 * time.Second
)

// vm is one daemon, run as the deploy file runs it.
type vm struct {
	name, zone, front, ready, settings, log string
	process                                 *exec.Cmd
	ended                                   chan struct{}
	// started is the time of the last start.
	started time.Time
}

func newVM(dir, name, zone, storeAddress string) (*vm, error) {
	host := loopback.Host()
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = loopback.Address(host); err != nil {
			return nil, err
		}
	}
	_, peerPort, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, zone: zone, front: addresses[0], ready: addresses[1], settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	text := fmt.Sprintf(`node_name = %q
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "r"
peer_port_range = [%s,%s]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.272
cores = 1
memory_mb = 206
max_fds = 2870
link_mbps = 700.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = %d
ack_ms = 5000
catch_up_s = 4
drain_ms = %d
grace_s = %d
loss_slack_ms = 200
config_apply_ms = %d
downgrade_ms = 250
max_skew_ms = 12000
retry_ratio = %v
retry_window_s = %d
retry_slack = %d
recovery_s = 12
[platform]
addr = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, name, host, zone, peerPort, peerPort, v.front, v.ready, stabilityWindow.Milliseconds(), drainBound.Milliseconds(), int(graceBound.Seconds()),
		configApplyBound.Milliseconds(), retryRatio, int(retryWindow.Seconds()), retrySlack, storeAddress)
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

func (v *vm) start() error {
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.process = exec.Command("target/gooseberrylaned", "-source", "machines")
	v.process.Env = []string{"GOOSEBERRYLANE_CONFIG=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return err
	}
	v.started = time.Now()
	ended := make(chan struct{})
	v.ended = ended
	process := v.process
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process at once.
func (v *vm) kill() {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Kill()
	<-v.ended
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (v *vm) terminate() {
	_ = v.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(graceBound):
		v.kill()
	}
}

// isReady asks as the balancer does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (v *vm) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if v.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

func itoa(n int) string { return strconv.Itoa(n) }
