package main

import (
	"bytes"
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
	values := settingsValues{
		Name: name, Host: host, Zone: zone, PeerPort: peerPort, Front: v.front, Ready: v.ready, Store: storeAddress,
		StabilityWindowMS: stabilityWindow.Milliseconds(), DrainMS: drainBound.Milliseconds(), GraceS: int64(graceBound / time.Second),
		ConfigApplyMS: configApplyBound.Milliseconds(), RetryWindow: int64(retryWindow / time.Second), RetryRatio: retryRatio, RetrySlack: retrySlack,
	}
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, values); err != nil {
		return nil, err
	}
	return v, os.WriteFile(v.settings, text.Bytes(), 0o600)
}

func (v *vm) start() error {
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.process = exec.Command("target/gooseberrylaned", "-source", "machines")
	v.process.Env = []string{words.SettingsVariable + "=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
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
