package commands

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/caller"
	"github.com/snipelift/snipelift/tracer"
)

// Exit codes of the commands.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that a job ran and failed, or that the command failed.
	ExitFailed = 1
	// ExitUsage means that the arguments, the settings or a document are invalid.
	ExitUsage = 2
	// ExitNotRun means that a job was refused and certainly did not run.
	ExitNotRun = 3
	// ExitUnknown means that a job may or may not have run.
	ExitUnknown = 4
	// ExitPending means that a job has not ended yet.
	ExitPending = 5
)

var errUsage = errors.New("invalid usage")

// console holds the standard streams of a command.
type console struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// command is a subcommand with its flags and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, c console) (int, error)
}

// Main parses the arguments, runs the subcommand and returns the exit code.
func Main(arguments []string, in io.Reader, out, errOut io.Writer) int {
	c := console{in: in, out: out, err: errOut}
	parser := flaggy.NewParser("snipelift")
	parser.Description = "schedules multi-accelerator jobs under organisation guarantees"
	parser.Version = "0.1.0"
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = true
	list := []command{
		newServe(), newDemo(), newSubmit(), newWait(), newCancel(), newStatus(), newExplain(), newPlacement(), newPlan(), newMeasure(),
	}
	for _, cmd := range list {
		parser.AttachSubcommand(cmd.sub, 1)
	}
	document, documentCommands := newDocument()
	parser.AttachSubcommand(document, 1)
	list = append(list, documentCommands...)
	logs, logsCommands := newLogs()
	parser.AttachSubcommand(logs, 1)
	list = append(list, logsCommands...)
	if err := parser.ParseArgs(arguments); err != nil {
		return c.fail(fmt.Errorf("%w: %w", errUsage, err))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, cmd := range list {
		if cmd.sub.Used {
			code, err := cmd.run(ctx, c)
			if err != nil {
				return c.fail(err)
			}
			return code
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

// fail prints an error to standard error and returns its exit code.
func (c console) fail(err error) int {
	_, _ = fmt.Fprintf(c.err, "snipelift: %v\n", err)
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, caller.ErrNotRun):
		return ExitNotRun
	case errors.Is(err, caller.ErrOutcomeUnknown):
		return ExitUnknown
	default:
		return ExitFailed
	}
}

func (c console) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.out, format, arguments...)
}

func (c console) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// target holds the flags of commands that call the HTTP API.
type target struct {
	entry        string
	organisation string
	keyFile      string
	traceFile    string
}

const defaultEntry = "http://127.0.0.1:8080"

func (t *target) addFlags(sub *flaggy.Subcommand) {
	t.entry = defaultEntry
	sub.String(&t.entry, "e", "entry", "URL of an entry or the balancer")
	sub.String(&t.organisation, "o", "organisation", "organisation to act for, where callers are trusted")
	sub.String(&t.keyFile, "", "key-file", "file with the key to act with")
	sub.String(&t.traceFile, "", "trace-file", "file that the caller's spans are appended to")
}

func (t *target) client() (caller.Client, error) {
	c := caller.Client{BaseURL: t.entry, Organisation: t.organisation, HTTP: &http.Client{}}
	if t.traceFile != "" {
		callerTracer, err := tracer.NewSynchronous(t.traceFile, "caller")
		if err != nil {
			return c, fmt.Errorf("%w: %w", errUsage, err)
		}
		c.Tracer = callerTracer
	}
	if t.keyFile == "" {
		return c, nil
	}
	key, err := os.ReadFile(t.keyFile)
	if err != nil {
		return c, fmt.Errorf("%w: read key: %w", errUsage, err)
	}
	c.Key = trimNewlines(key)
	return c, nil
}

func trimNewlines(data []byte) string {
	for len(data) > 0 && (data[len(data)-1] == '\n' || data[len(data)-1] == '\r') {
		data = data[:len(data)-1]
	}
	return string(data)
}

func randomID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
