package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clientCommands are the operators' commands. They use the operators' API alone, or files. The names of fields are the flags.
type clientCommands struct {
	Status   statusCommand   `cmd:"" help:"Tell what a core node knows: view, chain, versions, stores."`
	Members  membersCommand  `cmd:"" help:"List core nodes and stores."`
	Versions versionsCommand `cmd:"" help:"Tell which relay acts on which version of the configuration."`
	Duties   dutiesCommand   `cmd:"" help:"Show which node calls the platform, and what holds it up."`
	Config   struct {
		Get   configGet   `cmd:"" help:"Print the newest configuration."`
		Put   configPut   `cmd:"" help:"Send a configuration."`
		Check configCheck `cmd:"" help:"Check a configuration without sending it."`
	} `cmd:"" help:"The configuration."`
	Losses lossesCommand `cmd:"" help:"Count the requests that were lost or late, by cause, from the logs of fronts."`
	Retire retireCommand `cmd:"" help:"Have a store emptied, or tell how far that is."`
}

// target is the core node whose operators' API a command calls.
type target struct {
	At   string `help:"Control address of a core node, HOST:PORT." env:"BAROGRAPH_AT" placeholder:"HOST:PORT" required:""`
	JSON bool   `help:"Print JSON."`
}

// The bounds of one call of the operators' API.
const (
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 64 << 20 // twice the largest configuration
)

var client = &http.Client{Timeout: callTimeout}

// call makes one call and returns the body of the answer. A status of 300 and more is an error with the message of the
// answer.
func (t target) call(method, path string, header map[string]string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+t.At+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "give another core node's address with --at")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(answer) > maxAnswerBytes {
		return nil, errors.Newf("%s %s: the answer has over %d bytes: look whether --at is a core node", method, path, maxAnswerBytes)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Newf("%s %s: %d: %s", method, path, resp.StatusCode, errorMessage(answer))
	}
	return answer, nil
}

// errorMessage returns the message of an error answer: its JSON field, or the whole body if there is none.
func errorMessage(answer []byte) string {
	var problem struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(answer, &problem) != nil || problem.Message == "" {
		return string(answer)
	}
	return problem.Message
}

// printBody prints an answer with one line feed at its end.
func printBody(body []byte) error {
	_, err := fmt.Fprintln(os.Stdout, strings.TrimSpace(string(body)))
	return err
}
