package main

import "context"

func runSlopes(context.Context, *options, *starter, *binaries) error { return nil }
