package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipelift/snipelift/commands"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"snipelift": main,
		"snipelift-standin": func() {
			os.Exit(commands.MainStandIn(os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testscripts",
		RequireExplicitExec: true,
		Setup:               setUp,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"eventually": eventually,
			"settings":   writeSettings,
		},
	})
}

const (
	// firstScriptPort and the ports after it are below the ephemeral port range, so that outgoing connections do not take them.
	firstScriptPort = 20000
	// portsPerScript is the number of ports reserved for each script: the platform, entries, peers and up to 24 workers.
	portsPerScript = 40
)

var scriptsStarted atomic.Int32

// setUp sets the environment variables of a script to ports that no other script uses, on a loopback address that no other test process uses.
func setUp(env *testscript.Env) error {
	host := loopbackAddress(os.Getpid())
	first := firstScriptPort + portsPerScript*int(scriptsStarted.Add(1))
	address := func(offset int) string { return netip.AddrPortFrom(host, uint16(first+offset)).String() } //nolint:gosec // Far below the largest port.
	env.Setenv("PLATFORM", address(0))
	for i := 1; i <= 3; i++ {
		env.Setenv(fmt.Sprintf("HTTP%d", i), address(i))
		env.Setenv(fmt.Sprintf("PEER%d", i), address(3+i))
	}
	env.Setenv("WORKERS", address(8))
	return nil
}

// loopbackAddress returns a loopback address derived from the process ID. Probing 127.0.0.1 for free
// ports is not safe, because another process can take a port between the probe and its use.
func loopbackAddress(pid int) netip.Addr {
	const firstOctet, notDefault = 127, 64
	return netip.AddrFrom4([4]byte{firstOctet, notDefault | byte(pid>>16), byte(pid >> 8), byte(pid)})
}

// eventually is a script command that runs another command until it succeeds, at most 150 times at intervals of 200 ms.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: eventually command [args]")
	}
	const maxAttempts = 150
	var err error
	for range maxAttempts {
		if err = ts.Exec(args[0], args[1:]...); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	ts.Fatalf("%v: %v", args, err)
}

// writeSettings is a script command that writes the settings files entry1.json to entryN.json for the given number of entries.
func writeSettings(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: settings count")
	}
	for i := 1; i <= int(args[0][0]-'0'); i++ {
		text := fmt.Sprintf(`{"entry":"entry-%d","zone":"zone-a","service":"tabulator","httpAddress":"%s","peerAddress":"%s",
"platform":{"tableUrl":"http://%s","objectUrl":"http://%s","listUrl":"http://%s/vms"},"drainMillis":200,"checkInvariants":true,"traceFile":"%s"}`,
			i, ts.Getenv(fmt.Sprintf("HTTP%d", i)), ts.Getenv(fmt.Sprintf("PEER%d", i)),
			ts.Getenv("PLATFORM"), ts.Getenv("PLATFORM"), ts.Getenv("PLATFORM"), ts.MkAbs("spans.json"))
		ts.Check(os.WriteFile(ts.MkAbs(fmt.Sprintf("entry%d.json", i)), []byte(text), 0o600))
	}
}
