package experiment

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"bendtrestle/internal/experiment/baseline"
)

// Resolve returns the router program for a name: "head" (this working tree, built), "plain" (the same without zone
// failover and recovery), a baseline, "flat:SECONDS" (this program, whose budgets charge every request the same number
// of seconds), a program's path, or a revision of this repository, which is built in dir.
func Resolve(ctx context.Context, name, dir string) (Program, error) {
	if slices.Contains(baseline.Names(), name) {
		self, err := os.Executable()
		return Program{Name: name, Args: []string{self, "router", "--policy", name}}, err
	}
	if text, flat := strings.CutPrefix(name, "flat:"); flat {
		if x, err := strconv.ParseFloat(text, 64); err != nil || !(x > 0) {
			return Program{}, fmt.Errorf("%q: %q is not a number of seconds above 0", name, text)
		}
		self, err := os.Executable()
		return Program{Name: name, Args: []string{self, "router", "--flat", text}}, err
	}
	if name == "plain" {
		p, err := Resolve(ctx, "head", dir)
		p.Name, p.Plain = name, true
		return p, err
	}
	if name == "head" {
		root, err := commandOutput(ctx, ".", "go", "list", "-m", "-f", "{{.Dir}}")
		if err != nil {
			return Program{}, fmt.Errorf("head: %w", err)
		}
		return build(ctx, name, root, filepath.Join(dir, "head"))
	}
	if at, err := os.Stat(name); err == nil && !at.IsDir() {
		path, err := filepath.Abs(name)
		return Program{Name: filepath.Base(name), Args: []string{path}}, err
	}
	commit, err := commandOutput(ctx, ".", "git", "rev-parse", "--verify", "--quiet", name+"^{commit}")
	if err != nil {
		return Program{}, fmt.Errorf("%q is not head, a baseline (%s), a program's path or a revision", name, strings.Join(baseline.Names(), ", "))
	}
	tree := filepath.Join(dir, "tree-"+commit[:12])
	if err := os.MkdirAll(tree, 0o755); err != nil {
		return Program{}, err
	}
	// git archive leaves the repository unchanged; git worktree would record the new tree in it.
	archive := exec.CommandContext(ctx, "git", "archive", "--format=tar", commit)
	extract := exec.CommandContext(ctx, "tar", "-x", "-C", tree)
	if extract.Stdin, err = archive.StdoutPipe(); err != nil {
		return Program{}, err
	}
	if err = extract.Start(); err != nil {
		return Program{}, err
	}
	if err = archive.Run(); err != nil {
		return Program{}, fmt.Errorf("revision %s: %w", name, err)
	}
	if err = extract.Wait(); err != nil {
		return Program{}, fmt.Errorf("revision %s: %w", name, err)
	}
	return build(ctx, name, tree, filepath.Join(dir, "router-"+commit[:12]))
}

func build(ctx context.Context, name, root, to string) (Program, error) {
	if _, err := commandOutput(ctx, root, "go", "build", "-o", to, "./cmd/bendtrestle"); err != nil {
		return Program{}, fmt.Errorf("%s: %w", name, err)
	}
	return Program{Name: name, Args: []string{to}}, nil
}

// commandOutput runs a command and returns its standard output without surrounding space. The error of a failed command
// contains its standard error.
func commandOutput(ctx context.Context, dir, command string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, command, args...)
	cmd.Dir = dir
	var stderr strings.Builder
	cmd.Stderr = &stderr
	text, err := cmd.Output()
	if err != nil {
		return "", fmt.Errorf("%s %s: %w %s", command, strings.Join(args, " "), err, strings.TrimSpace(stderr.String()))
	}
	return strings.TrimSpace(string(text)), nil
}
