package main

import (
	"github.com/cockroachdb/errors"
)

type storeCommand struct{}

func (storeCommand) Run() error { return errors.New("not here yet") }
