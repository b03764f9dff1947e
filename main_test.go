package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
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

// setUp gives each script ports of its own.
func setUp(env *testscript.Env) error {
	const ports = 24
	first, err := freePorts(ports)
	if err != nil {
		return err
	}
	env.Setenv("PLATFORM", fmt.Sprintf("127.0.0.1:%d", first))
	for i := 1; i <= 3; i++ {
		env.Setenv(fmt.Sprintf("HTTP%d", i), fmt.Sprintf("127.0.0.1:%d", first+i))
		env.Setenv(fmt.Sprintf("PEER%d", i), fmt.Sprintf("127.0.0.1:%d", first+3+i))
	}
	env.Setenv("WORKERS", fmt.Sprintf("127.0.0.1:%d", first+8))
	return nil
}

// freePorts returns the first of count neighbouring free ports.
func freePorts(count int) (int, error) {
	for range 50 {
		first, err := portOf("127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		if first+count < 65000 && allFree(first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d neighbouring free ports", count)
}

func allFree(first, count int) bool {
	for i := range count {
		if _, err := portOf(fmt.Sprintf("127.0.0.1:%d", first+i)); err != nil {
			return false
		}
	}
	return true
}

// portOf listens on the address for a moment and returns its port.
func portOf(address string) (int, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	resolved, err := netip.ParseAddrPort(l.Addr().String())
	return int(resolved.Port()), err
}

// eventually repeats a command until it succeeds.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: eventually command [args]")
	}
	const tries = 150
	var err error
	for range tries {
		if err = ts.Exec(args[0], args[1:]...); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	ts.Fatalf("%v: %v", args, err)
}

// writeSettings writes entry1.json and so on for the given number of entries.
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
