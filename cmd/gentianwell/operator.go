package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// operatorTimeout is the timeout of a command's request to an entry VM.
const operatorTimeout = 10 * time.Second

// operatorFlags returns the flags of the commands that call an entry VM.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "vm", Usage: "operators' `ADDRESS` of an entry VM", Value: "127.0.0.1:8082", Sources: cli.EnvVars("GENTIANWELL_VM")},
		&cli.StringFlag{Name: "key", Usage: "operator's bearer `KEY`", Sources: cli.EnvVars("GENTIANWELL_OPERATOR_KEY")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

// callOperator sends a request to the operators' address of an entry VM and decodes
// the JSON response.
func callOperator(ctx context.Context, cmd *cli.Command, method, path string, response any) error {
	address, err := netip.ParseAddrPort(cmd.String("vm"))
	if err != nil {
		return usageError("--vm: %q is not an address of the form IP:PORT: %v", cmd.String("vm"), err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, nil)
	if err != nil {
		return errors.Annotate(err, "callOperator")
	}
	req.Header.Set("Authorization", "Bearer "+cmd.String("key"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return cli.Exit("gentianwell: "+err.Error(), exitUnreachable)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return cli.Exit(fmt.Sprintf("gentianwell: %s answered %s: %s", address, resp.Status, text), exitFailed)
	}
	if err := json.NewDecoder(resp.Body).Decode(response); err != nil {
		return errors.Annotate(err, "callOperator")
	}
	return nil
}

func printJSON(cmd *cli.Command, value any) error {
	e := json.NewEncoder(cmd.Root().Writer)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(value))
}
