package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/documenter"
)

func newDocument() (*flaggy.Subcommand, []command) {
	sub := flaggy.NewSubcommand("document")
	sub.Description = "read, check and edit the service's document"
	list := []command{newDocumentGet(), newDocumentPut(), newDocumentCheck(), newDocumentDiff(), newDocumentHistory()}
	for _, cmd := range list {
		sub.AttachSubcommand(cmd.sub, 1)
	}
	return sub, list
}

func newDocumentGet() command {
	sub := flaggy.NewSubcommand("get")
	sub.Description = "print the document in force; its version goes to standard error"
	var t target
	t.addFlags(sub)
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		client, err := t.client()
		if err != nil {
			return 0, err
		}
		d, err := client.GetDocument(ctx)
		if err != nil {
			return 0, err
		}
		_, _ = fmt.Fprintf(c.err, "version %d\n", d.Version)
		c.printf("%s\n", trimNewlines(d.Text))
		return ExitDone, nil
	}}
}

func newDocumentPut() command {
	sub := flaggy.NewSubcommand("put")
	sub.Description = "put an edited document in force, if nobody has changed it meanwhile"
	var t target
	t.addFlags(sub)
	path, editID, editor := "", "", os.Getenv("USER")
	base := -1
	sub.AddPositionalValue(&path, "file", 1, true, "file with the document, or - for standard input")
	sub.Int(&base, "b", "base", "version that was edited; 0 for a first document")
	sub.String(&editID, "", "edit-id", "ID of the edit; repeating it is the same edit")
	sub.String(&editor, "", "editor", "who edits")
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		if base < 0 {
			return 0, fmt.Errorf("%w: document put needs --base VERSION, as printed by document get; 0 for a first document", errUsage)
		}
		text, err := c.read(path)
		if err != nil {
			return 0, err
		}
		if _, err := documenter.Decode(text); err != nil {
			return 0, fmt.Errorf("%w: %w", errUsage, err)
		}
		client, err := t.client()
		if err != nil {
			return 0, err
		}
		if editID == "" {
			editID = randomID()
		}
		version, err := client.PutDocument(ctx, int64(base), text, editID, editor)
		if err != nil {
			return 0, fmt.Errorf("put document (edit %s): %w", editID, err)
		}
		c.printf("version %d is in force\n", version)
		return ExitDone, nil
	}}
}

func newDocumentCheck() command {
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check a document and say what it promises"
	path := ""
	sub.AddPositionalValue(&path, "file", 1, true, "file with the document, or - for standard input")
	return command{sub: sub, run: func(_ context.Context, c console) (int, error) {
		d, err := c.readDocument(path)
		if err != nil {
			return 0, err
		}
		for _, sentence := range documenter.Describe(d) {
			c.printf("%s\n", sentence)
		}
		return ExitDone, nil
	}}
}

// readDocument reads a document from a file or standard input and validates it.
func (c console) readDocument(path string) (documenter.Document, error) {
	text, err := c.read(path)
	if err != nil {
		return documenter.Document{}, err
	}
	d, err := documenter.Decode(text)
	if err != nil {
		return d, fmt.Errorf("%w: %w", errUsage, err)
	}
	return d, nil
}

func (c console) read(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(io.LimitReader(c.in, documenter.MaxBytes+1))
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return data, nil
}

func newDocumentHistory() command {
	sub := flaggy.NewSubcommand("history")
	sub.Description = "list who put which version in force and when"
	var t target
	t.addFlags(sub)
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		client, err := t.client()
		if err != nil {
			return 0, err
		}
		edits, err := client.History(ctx)
		if err != nil {
			return 0, err
		}
		for _, e := range edits {
			c.printf("version %d  %s  %s\n", e.Version, e.At.UTC().Format(time.RFC3339), e.By)
		}
		return ExitDone, nil
	}}
}

func newDocumentDiff() command {
	sub := flaggy.NewSubcommand("diff")
	sub.Description = "say what an edited document would promise differently from the one in force"
	var t target
	t.addFlags(sub)
	path := ""
	sub.AddPositionalValue(&path, "file", 1, true, "file with the edited document, or - for standard input")
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		edited, err := c.readDocument(path)
		if err != nil {
			return 0, err
		}
		client, err := t.client()
		if err != nil {
			return 0, err
		}
		current, err := client.GetDocument(ctx)
		if err != nil {
			return 0, err
		}
		before, err := documenter.Decode(current.Text)
		if err != nil {
			return 0, fmt.Errorf("read version %d: %w", current.Version, err)
		}
		c.printMissing("-", documenter.Describe(before), documenter.Describe(edited))
		c.printMissing("+", documenter.Describe(edited), documenter.Describe(before))
		return ExitDone, nil
	}}
}

// printMissing prints each sentence that is not in others, after the sign.
func (c console) printMissing(sign string, sentences, others []string) {
	for _, s := range sentences {
		if !slices.Contains(others, s) {
			c.printf("%s %s\n", sign, s)
		}
	}
}
