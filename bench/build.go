package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// binaries are the built programs of one revision, with the plug-ins that its daemon links.
type binaries struct {
	daemon, upstream, platform string
	plugins                    pluginSet
	// sourceAddress reports whether the daemon can open links from a source address. Without it, links between VMs have no
	// added delay.
	sourceAddress bool
}

// pluginSet is the set of linked plug-ins by their folder, such as "selection/random".
type pluginSet map[string]bool

// repositoryRoot returns the folder of the module that this program belongs to.
func repositoryRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	if err != nil {
		return "", err
	}
	path := strings.TrimSpace(string(out))
	if path == "" || path == os.DevNull {
		return "", fmt.Errorf("not inside the repository")
	}
	return filepath.Dir(path), nil
}

// build builds the programs of the tree at root into a folder. The stand-ins of another revision may lack control calls,
// so that only the daemon is built when daemonOnly is set.
func build(ctx context.Context, root, into string, daemonOnly bool) (*binaries, error) {
	b := &binaries{
		daemon: filepath.Join(into, "gooseberrylaned"), upstream: filepath.Join(into, "upstream"), platform: filepath.Join(into, "platform"),
	}
	packages := map[string]string{b.daemon: "./cmd/gooseberrylaned"}
	if !daemonOnly {
		packages[b.upstream] = "./standins/cmd/upstream"
		packages[b.platform] = "./standins/cmd/platform"
	}
	for output, name := range packages {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", output, name)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return nil, fmt.Errorf("go build %s: %w\n%s", name, err, out)
		}
	}
	source, err := os.ReadFile(filepath.Join(root, "plugins", "standard", "standard.go"))
	if err != nil {
		return nil, err
	}
	b.plugins = linkedPlugins(string(source))
	peer, err := os.ReadFile(filepath.Join(root, "plugins", "peer", "websocket", "websocket.go"))
	if err != nil {
		return nil, err
	}
	b.sourceAddress = strings.Contains(string(peer), "source_address")
	return b, nil
}

var pluginImport = regexp.MustCompile(`_ "[^"]*/plugins/([a-z0-9_]+/[a-z0-9_]+)"`)

// linkedPlugins parses the plug-ins from the source file that imports them, because the registry of this program does
// not hold the plug-ins of another revision's daemon.
func linkedPlugins(source string) pluginSet {
	set := make(pluginSet)
	for _, match := range pluginImport.FindAllStringSubmatch(source, -1) {
		set[match[1]] = true
	}
	return set
}

// commitOf returns the commit of a tree, marked as dirty if the tree has uncommitted changes.
func commitOf(ctx context.Context, root string) string {
	cmd := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty", "--abbrev=12", "--exclude=*")
	cmd.Dir = root
	out, err := cmd.Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// checkOut makes a git worktree of a revision and returns a function that removes it.
func checkOut(ctx context.Context, root, revision, into string) (remove func(), err error) {
	cmd := exec.CommandContext(ctx, "git", "worktree", "add", "--detach", into, revision)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("git worktree add: %w\n%s", err, out)
	}
	return func() {
		cmd := exec.Command("git", "worktree", "remove", "--force", into)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "bench: git worktree remove: %v\n%s", err, out)
		}
	}, nil
}
