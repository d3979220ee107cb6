package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func execute(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestRunRejectsInvalidSettings checks that run prints one line per problem with
// the settings and starts nothing: it must not create the data directory.
func TestRunRejectsInvalidSettings(t *testing.T) {
	dir := t.TempDir()
	data := filepath.Join(dir, "data")
	path := filepath.Join(dir, "settings.json")
	content := `{
  "name": "entry-1", "zone": "kochi-a", "roles": ["replica"],
  "listen": {"peers": "example.org:1", "admin": "127.0.0.1:2"},
  "data_dir": "` + data + `",
  "replicas": [], "colour": "green"
}`
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	code, stdout, stderr := execute(t, "run", "--config", path)
	if code != exitRefused || stdout != "" {
		t.Fatalf("got exit code %d and output %q, want exitRefused and no output", code, stdout)
	}
	lines := strings.Split(strings.TrimSpace(stderr), "\n")
	for _, line := range lines {
		if !strings.HasPrefix(line, path+":") || !strings.Contains(line, "expected") {
			t.Errorf("line %q lacks the position or the expected value", line)
		}
	}
	for _, field := range []string{"colour", "listen.peers"} {
		if !strings.Contains(stderr, field) {
			t.Errorf("no problem with %s in:\n%s", field, stderr)
		}
	}
	if _, err := os.Stat(data); err == nil {
		t.Error("the data directory was created")
	}
}

func documents(name string) string {
	return filepath.Join("..", "..", "platform", "testdata", "check", name)
}

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		args []string
		want int
	}{
		{[]string{"version"}, exitOK},
		{[]string{"check", filepath.Join("..", "..", "examples", "carpatia", "fleet.jsonc")}, exitOK},
		{[]string{"check", "does-not-exist.json"}, exitFailed},
		{[]string{"check", documents("valid.json")}, exitOK},
		{[]string{"check", "--against", documents("valid.json"), documents("changed.json")}, exitOK},
		{[]string{"check", "--against", "does-not-exist.json", documents("changed.json")}, exitFailed},
		{[]string{"check", documents("contradictions.json")}, exitRefused},
		{[]string{"check", documents("refused.json")}, exitRefused},
		{[]string{"no-such-command"}, exitRefused},
		{[]string{"ctl", "get"}, exitRefused},
		{[]string{"ctl", "get", "--server", "127.0.0.1:1", "--key-file", "does-not-exist"}, exitFailed},
	} {
		if code, _, stderr := execute(t, test.args...); code != test.want {
			t.Errorf("%v: exit %d, want %d: %s", test.args, code, test.want, stderr)
		}
	}
}
