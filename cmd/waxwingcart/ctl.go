package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"strings"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/process"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/settings"
	"waxwingcart/internal/wire"
)

// operatorFlags select the process to call and the operator key.
type operatorFlags struct {
	Server  string        `help:"Admin address of any process of the deployment." env:"WAXWINGCART_SERVER" required:"" placeholder:"IP:PORT"`
	KeyFile string        `help:"File with the operator key." env:"WAXWINGCART_KEY_FILE" required:"" placeholder:"FILE"`
	Timeout time.Duration `help:"How long to wait for an answer." default:"45s"`
	JSON    bool          `name:"json" help:"Print JSON for programs."`
}

func (f *operatorFlags) client() (*rpc.Client, error) {
	key, err := process.ReadKey(f.KeyFile)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(key), nil
}

// operator returns a client for the process, and a context with the timeout of the
// flags.
func (f *operatorFlags) operator() (wire.Operator, context.Context, context.CancelFunc, error) {
	client, err := f.client()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return wire.NewOperatorProtobufClient("http://"+f.Server, client), ctx, cancel, nil
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type ctlCommand struct {
	operatorFlags

	Apply    applyCommand    `cmd:"" help:"Change the fleet configuration."`
	Get      getCommand      `cmd:"" help:"Print the committed fleet configuration."`
	Diff     diffCommand     `cmd:"" help:"Compare a file with the committed fleet configuration."`
	History  historyCommand  `cmd:"" help:"List the latest configuration changes."`
	Drain    drainCommand    `cmd:"" help:"Drain the entry at the address."`
	Replicas replicasCommand `cmd:"" help:"Show the replicated log as the process sees it."`
	Requests requestsCommand `cmd:"" help:"List the requests in flight at the entry."`
	Explain  explainCommand  `cmd:"" help:"Tell what happened to a request at the entry."`
}

type applyCommand struct {
	File     string        `arg:"" help:"Fleet configuration." placeholder:"FILE"`
	ChangeID string        `help:"Name of the change; resending it gives the first answer. Default: random."`
	Base     int64         `help:"Revision that the change is based on. Default: the committed one." default:"-1"`
	Author   string        `help:"Name for the history. Default: the user's name."`
	Wait     time.Duration `help:"How long to wait until the change is in force in every zone." default:"10s"`
}

// Run sends the change and reports the zones in which it is in force.
func (c *applyCommand) Run(flags *ctlCommand, stdout io.Writer) error {
	config, err := settings.LoadFleet(c.File)
	if err != nil {
		return err
	}
	data, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode %s: %w", c.File, err)
	}
	operator, ctx, cancel, err := flags.operator()
	if err != nil {
		return err
	}
	defer cancel()
	request := &wire.ChangeConfigRequest{
		ChangeId:   c.changeID(),
		Author:     c.author(),
		ConfigJson: data,
		WaitMs:     c.Wait.Milliseconds(),
	}
	if request.BaseRevision, err = c.base(ctx, operator); err != nil {
		return err
	}
	response, err := operator.ApplyConfig(ctx, request)
	if err != nil {
		return fmt.Errorf("apply change %s: %w; send it again with --change-id %s --base %d to learn the outcome",
			request.ChangeId, err, request.ChangeId, request.BaseRevision)
	}
	return c.report(flags.JSON, stdout, request.ChangeId, response)
}

func (c *applyCommand) changeID() string {
	if c.ChangeID != "" {
		return c.ChangeID
	}
	var b [8]byte
	_, _ = rand.Read(b[:])
	return "c-" + hex.EncodeToString(b[:])
}

func (c *applyCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

func (c *applyCommand) base(ctx context.Context, operator wire.Operator) (uint64, error) {
	if c.Base >= 0 {
		return uint64(c.Base), nil
	}
	current, err := operator.GetConfig(ctx, &wire.GetConfigRequest{})
	if err != nil {
		return 0, fmt.Errorf("read the committed revision: %w", err)
	}
	return current.Revision, nil
}

// applyReport is the JSON output of apply.
type applyReport struct {
	ChangeID     string   `json:"change_id"`
	Accepted     bool     `json:"accepted"`
	Revision     uint64   `json:"revision"`
	Invalid      string   `json:"invalid,omitempty"`
	WinnerID     string   `json:"winner_change_id,omitempty"`
	WinnerAuthor string   `json:"winner_author,omitempty"`
	InForce      []string `json:"zones_in_force"`
	Pending      []string `json:"zones_pending"`
}

func (c *applyCommand) report(asJSON bool, stdout io.Writer, changeID string, response *wire.ChangeConfigResponse) error {
	report := applyReport{
		ChangeID:     changeID,
		Accepted:     !response.Conflict && response.Invalid == "",
		Revision:     response.Revision,
		Invalid:      response.Invalid,
		WinnerID:     response.WinnerChangeId,
		WinnerAuthor: response.WinnerAuthor,
		InForce:      response.ZonesInForce,
		Pending:      response.ZonesPending,
	}
	if asJSON {
		if err := printJSON(stdout, report); err != nil {
			return err
		}
	}
	switch {
	case response.Invalid != "":
		return fmt.Errorf("%w: change %s is invalid: %s", errRefused, changeID, response.Invalid)
	case response.Conflict:
		return fmt.Errorf("%w: change %s lost: revision %d is change %s by %s", errRefused, changeID,
			response.Revision, response.WinnerChangeId, response.WinnerAuthor)
	}
	if !asJSON {
		fmt.Fprintf(stdout, "change %s is revision %d\nin force: %s\npending:  %s\n", changeID, response.Revision,
			listOrNone(response.ZonesInForce), listOrNone(response.ZonesPending))
	}
	return nil
}

func listOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

type getCommand struct{}

// Run prints the committed configuration and its revision.
func (c *getCommand) Run(flags *ctlCommand, stdout io.Writer) error {
	current, err := fetchConfig(flags)
	if err != nil {
		return err
	}
	if flags.JSON {
		return printJSON(stdout, struct {
			Revision  uint64          `json:"revision"`
			Confirmed bool            `json:"confirmed"`
			Config    json.RawMessage `json:"config"`
		}{current.Revision, current.Confirmed, current.ConfigJson})
	}
	note := ""
	if !current.Confirmed {
		note = ", not confirmed by a quorum"
	}
	fmt.Fprintf(stdout, "// revision %d%s\n%s\n", current.Revision, note, current.ConfigJson)
	return nil
}

// fetchConfig returns the committed configuration. Having none is an error.
func fetchConfig(flags *ctlCommand) (*wire.GetConfigResponse, error) {
	operator, ctx, cancel, err := flags.operator()
	if err != nil {
		return nil, err
	}
	defer cancel()
	current, err := operator.GetConfig(ctx, &wire.GetConfigRequest{})
	if err != nil {
		return nil, fmt.Errorf("get configuration: peer %s: %w", flags.Server, err)
	}
	if current.Revision == 0 {
		return nil, fmt.Errorf("no configuration has been applied yet")
	}
	return current, nil
}

type diffCommand struct {
	File string `arg:"" help:"Fleet configuration." placeholder:"FILE"`
}

// Run prints the items that applying the file would change.
func (c *diffCommand) Run(flags *ctlCommand, stdout io.Writer) error {
	config, err := settings.LoadFleet(c.File)
	if err != nil {
		return err
	}
	current, err := fetchConfig(flags)
	if err != nil {
		return err
	}
	old, err := fleet.ParseJSON(current.ConfigJson)
	if err != nil {
		return fmt.Errorf("parse the committed configuration: %w", err)
	}
	oldItems, err := fleet.Flatten(old)
	if err != nil {
		return err
	}
	newItems, err := fleet.Flatten(config)
	if err != nil {
		return err
	}
	items := fleet.Diff(oldItems, newItems)
	if flags.JSON {
		return printJSON(stdout, items)
	}
	for _, item := range items {
		fmt.Fprintf(stdout, "%s\n  - %s\n  + %s\n", item.Path, orNothing(oldItems[item.Path]), orNothing(item.JSON))
	}
	if len(items) == 0 {
		fmt.Fprintln(stdout, "no difference")
	}
	return nil
}

func orNothing(data []byte) string {
	if len(data) == 0 {
		return "nothing"
	}
	return string(data)
}

type historyCommand struct {
	Limit int32 `help:"Number of changes." default:"20"`
}

// Run lists the changes, newest first.
func (c *historyCommand) Run(flags *ctlCommand, stdout io.Writer) error {
	operator, ctx, cancel, err := flags.operator()
	if err != nil {
		return err
	}
	defer cancel()
	history, err := operator.History(ctx, &wire.HistoryRequest{Limit: c.Limit})
	if err != nil {
		return fmt.Errorf("history: peer %s: %w", flags.Server, err)
	}
	if flags.JSON {
		return printJSON(stdout, history.Changes)
	}
	for _, change := range history.Changes {
		at := time.UnixMilli(change.TimeMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(stdout, "%6d  %s  %-20s %-12s %d items\n", change.Revision, at, change.ChangeId, change.Author, len(change.Paths))
	}
	return nil
}

type drainCommand struct {
	Deadline time.Duration `help:"When to end streams resumably; 0 waits for all to end." default:"0s"`
}

// Run starts the drain and returns without waiting for its end.
func (c *drainCommand) Run(flags *ctlCommand, stdout io.Writer) error {
	operator, ctx, cancel, err := flags.operator()
	if err != nil {
		return err
	}
	defer cancel()
	response, err := operator.Drain(ctx, &wire.DrainRequest{DeadlineMs: c.Deadline.Milliseconds()})
	if err != nil {
		return fmt.Errorf("drain: peer %s: %w", flags.Server, err)
	}
	if flags.JSON {
		return printJSON(stdout, map[string]int32{"in_flight": response.InFlight})
	}
	fmt.Fprintf(stdout, "draining; %d requests in flight\n", response.InFlight)
	return nil
}

type explainCommand struct {
	RequestID string `arg:"" help:"Request ID, from the Waxwingcart-Request-Id header."`
}

// Run prints the recorded steps of the request.
func (c *explainCommand) Run(flags *ctlCommand, stdout io.Writer) error {
	operator, ctx, cancel, err := flags.operator()
	if err != nil {
		return err
	}
	defer cancel()
	response, err := operator.Explain(ctx, &wire.ExplainRequest{RequestId: c.RequestID})
	if err != nil {
		return fmt.Errorf("explain: peer %s: %w", flags.Server, err)
	}
	if !response.Found {
		return fmt.Errorf("entry %s remembers no request %s", flags.Server, c.RequestID)
	}
	if flags.JSON {
		return printJSON(stdout, response.Steps)
	}
	fmt.Fprintln(stdout, strings.Join(response.Steps, "\n"))
	return nil
}

type replicasCommand struct{}

// Run prints the replica's part of the state dump.
func (c *replicasCommand) Run(flags *ctlCommand, stdout io.Writer) error {
	return printPart(flags, stdout, "replica")
}

type requestsCommand struct{}

// Run prints the requests in flight.
func (c *requestsCommand) Run(flags *ctlCommand, stdout io.Writer) error {
	return printPart(flags, stdout, "entry", "requests")
}

// printPart prints the part of a process's state dump at a path of field names.
func printPart(flags *ctlCommand, stdout io.Writer, path ...string) error {
	data, err := fetchDump(&flags.operatorFlags)
	if err != nil {
		return err
	}
	for _, name := range path {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(data, &fields); err != nil {
			return fmt.Errorf("dump of %s: %w", flags.Server, err)
		}
		part, ok := fields[name]
		if !ok {
			return fmt.Errorf("the process at %s has no %s", flags.Server, name)
		}
		data = part
	}
	return printJSON(stdout, json.RawMessage(data))
}

func fetchDump(flags *operatorFlags) ([]byte, error) {
	client, err := flags.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), flags.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+flags.Server+"/dump", nil)
	if err != nil {
		return nil, fmt.Errorf("dump: peer %s: %w", flags.Server, err)
	}
	response, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("dump: peer %s: %w", flags.Server, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("dump: peer %s: %w", flags.Server, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("dump: peer %s answered %s", flags.Server, response.Status)
	}
	return data, nil
}

type dumpCommand struct {
	Address string        `arg:"" help:"Admin address of the process." placeholder:"IP:PORT"`
	KeyFile string        `help:"File with the operator key." env:"WAXWINGCART_KEY_FILE" required:"" placeholder:"FILE"`
	Timeout time.Duration `help:"How long to wait for an answer." default:"10s"`
}

// Run prints the whole state dump.
func (c *dumpCommand) Run(stdout io.Writer) error {
	flags := operatorFlags{Server: c.Address, KeyFile: c.KeyFile, Timeout: c.Timeout}
	data, err := fetchDump(&flags)
	if err != nil {
		return err
	}
	_, err = stdout.Write(data)
	return err
}
