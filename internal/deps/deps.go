//go:build tools

// Package deps keeps requirements in go.mod until code imports them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gorilla/mux"
	_ "github.com/phuslu/log"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/tailscale/hujson"
	_ "go.uber.org/fx"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
