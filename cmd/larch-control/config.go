package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"

	"larchrouter/internal/tier/routing"
)

// configGet prints the newest configuration.
type configGet struct{ target }

func (c configGet) Run() error {
	body, err := c.call(http.MethodGet, "/api/config", nil, nil)
	if err != nil {
		return err
	}
	return printBody(body)
}

// configPut checks a configuration and sends it.
type configPut struct {
	target
	On   int64  `help:"Version on which it builds; 0 for the first." required:""`
	File string `arg:"" help:"The configuration, JSON." type:"existingfile"`
}

func (c configPut) Run() error {
	config, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := routing.Parse(config); err != nil {
		return err
	}
	header := map[string]string{"If-Match": strconv.FormatInt(c.On, 10), "Content-Type": "application/json"}
	_, err = c.call(http.MethodPut, "/api/config", header, config)
	return err
}

// configCheck checks a configuration without sending it.
type configCheck struct {
	File string `arg:"" help:"The configuration, JSON." type:"existingfile"`
}

func (c configCheck) Run() error {
	config, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	parsed, err := routing.Parse(config)
	if err != nil {
		return err
	}
	fmt.Printf("version %d: %d routes, %d services\n", parsed.Version, len(parsed.Routes), len(parsed.Services))
	return nil
}

// retireCommand starts the retirement of a store and prints its phase.
type retireCommand struct {
	target
	Phase  bool   `help:"Only tell how far it is."`
	Within int    `help:"Seconds within which it should be done." default:"60"`
	Node   string `arg:"" help:"Name of the store."`
}

func (c retireCommand) Run() error {
	path := "/api/retire/" + c.Node
	if !c.Phase {
		header := map[string]string{"Content-Type": "application/json"}
		if _, err := c.call(http.MethodPost, path, header, fmt.Appendf(nil, `{"within_s":%d}`, c.Within)); err != nil {
			return err
		}
	}
	body, err := c.call(http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return printBody(body)
}
