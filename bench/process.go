package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// clockTick is the unit of the times in /proc/<pid>/stat.
	clockTick = 10 * time.Millisecond
	// killGrace is how long a process may take to end before it is killed.
	killGrace    = 10 * time.Second
	readyTimeout = 20 * time.Second
	pageBytes    = 4096
	maxProcesses = 300
	// Limits of each process: entry VMs are small machines, and the stand-ins share the machine with them.
	daemonThreads  = "GOMAXPROCS=2"
	daemonMemory   = "GOMEMLIMIT=256MiB"
	standInThreads = "GOMAXPROCS=4"
	standInMemory  = "GOMEMLIMIT=1GiB"
)

// starter starts processes from one operating system thread that lives as long as this program, because the kernel kills
// a child with PDEATHSIG when the thread that started it exits.
type starter struct {
	calls chan func()
	mu    sync.Mutex
	live  map[int]*process
}

func newStarter() *starter {
	s := &starter{calls: make(chan func()), live: make(map[int]*process)}
	go func() {
		runtime.LockOSThread()
		for call := range s.calls {
			call()
		}
	}()
	return s
}

var (
	daemonEnv  = []string{daemonThreads, daemonMemory}
	standInEnv = []string{standInThreads, standInMemory}
)

// process is one started program.
type process struct {
	starter   *starter
	name      string
	cmd       *exec.Cmd
	firstLine chan string
	ended     chan struct{}
	err       error
}

// start starts a program whose standard error goes to a file. The first line of its standard output goes to firstLine; the
// rest is not read.
func (s *starter) start(name, logDir string, env []string, binary string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(binary, args...)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p := &process{starter: s, name: name, cmd: cmd, firstLine: make(chan string, 1), ended: make(chan struct{})}
	if err := s.run(p); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	go func() {
		scanner := bufio.NewScanner(out)
		scanner.Buffer(nil, 1<<20)
		if scanner.Scan() {
			p.firstLine <- scanner.Text()
		}
		p.err = errors.Join(cmd.Wait(), log.Close())
		s.remove(p)
		close(p.ended)
	}()
	return p, nil
}

func (s *starter) run(p *process) error {
	failed := make(chan error, 1)
	s.calls <- func() { failed <- s.startLocked(p) }
	return <-failed
}

func (s *starter) startLocked(p *process) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.live) >= maxProcesses {
		return fmt.Errorf("more than %d processes", maxProcesses)
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.live[p.pid()] = p
	return nil
}

func (s *starter) remove(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, p.pid())
}

// stopAll ends every process that is still running, gracefully first.
func (s *starter) stopAll() {
	s.mu.Lock()
	running := make([]*process, 0, len(s.live))
	for _, p := range s.live {
		running = append(running, p)
	}
	s.mu.Unlock()
	var work sync.WaitGroup
	for _, p := range running {
		work.Go(func() { p.stop() })
	}
	work.Wait()
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// decodeFirstLine decodes the first line that the program prints.
func (p *process) decodeFirstLine(ctx context.Context, out any) error {
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	select {
	case line := <-p.firstLine:
		return json.Unmarshal([]byte(line), out)
	case <-p.ended:
		return fmt.Errorf("%s exited during startup: %w", p.name, p.err)
	case <-timer.C:
		return fmt.Errorf("%s did not start within %v", p.name, readyTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop sends SIGTERM to the process and kills it if it has not exited after killGrace. It returns the time that the
// process took to exit.
func (p *process) stop() time.Duration {
	started := time.Now()
	// The error is ignored because the process may have exited already.
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(killGrace):
		p.kill()
	}
	return time.Since(started)
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// usage is the CPU time and the resident memory of a process.
type usage struct {
	CPU      time.Duration
	Resident int64
}

func (p *process) usage() (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid()))
	if err != nil {
		return usage{}, err
	}
	return parseStat(string(raw))
}

// parseStat reads the CPU time and the resident memory of a line of /proc/<pid>/stat. The name of the program, in
// parentheses, may hold spaces.
func parseStat(line string) (usage, error) {
	const (
		userTime   = 11
		systemTime = 12
		resident   = 21
	)
	_, rest, ok := strings.Cut(line[max(strings.LastIndex(line, ")"), 0):], ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= resident {
		return usage{}, errors.New("stat line is too short")
	}
	var numbers [3]int64
	for i, field := range []int{userTime, systemTime, resident} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return usage{}, err
		}
		numbers[i] = n
	}
	return usage{CPU: time.Duration(numbers[0]+numbers[1]) * clockTick, Resident: numbers[2] * pageBytes}, nil
}
