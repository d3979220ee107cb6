//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	// bigRoutes is the number of routes of each document: what the largest big_config of the site files adds.
	bigRoutes = 1400
	// changes is the number of documents. Together they are longer than the log that a replica keeps in memory.
	changes = 220
	// recover_s and the delay until killed processes are back, as the pages say.
	recoverTime  = 12 * time.Second
	restartDelay = 500 * time.Millisecond
)

// document returns a configuration document.
func document(version, routes int) []byte {
	list := []map[string]any{
		{"name": "dossiers", "host": "desk.example", "path_prefix": "/dossiers/", "type": "stream", "timeout_ms": 10000, "slo_ms": 1000,
			"priority": 1, "service": "models", "attempts": 2, "public": false, "sticky": true, "resumable": true, "itl_target_ms": 500},
		{"name": "claims", "host": "desk.example", "path_prefix": "/claims/", "type": "unsafe", "timeout_ms": 2000, "slo_ms": 120,
			"priority": 2, "service": "ledger", "attempts": 1, "public": false, "sticky": false, "resumable": false},
		{"name": "records", "host": "desk.example", "path_prefix": "/records/", "type": "safe", "timeout_ms": 2000, "slo_ms": 120,
			"priority": 2, "service": "ledger", "attempts": 2, "public": false, "sticky": false, "resumable": false},
	}
	for i := range routes {
		timeout := 2000
		if i == version%routes {
			timeout = 2001
		}
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-idle%05d", i), "host": "desk.example", "path_prefix": fmt.Sprintf("/idle%05d/", i), "type": "safe", "timeout_ms": timeout,
			"slo_ms": 120, "priority": 2, "backends": []map[string]any{{"service": "ledger", "weight": 100}}, "attempts": 2, "public": false, "sticky": false, "resumable": false,
		})
	}
	content, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{"name": "models", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "kv_capacity": 100000, "stride": 1}},
			{"name": "ledger", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "heirs", "api_keys": []string{"key-of-heirs"}, "priority": 1}},
	})
	return content
}

// playSnapshot sends many large documents, kills all replicas and reads the configuration back.
func playSnapshot(c *cluster, trouble bool) (int, error) {
	if _, err := c.addEngine("i-a1", "ledger", 101); err != nil {
		return 0, err
	}
	total := 0
	for version := 1; version <= changes; version++ {
		content := document(version, bigRoutes)
		total += len(content)
		if !c.put(content, 15*time.Second) {
			return 0, fmt.Errorf("version %d was not acknowledged", version)
		}
		c.record.printf("configuration version %d, %d bytes, was acknowledged", version, len(content))
	}
	c.record.printf("%d bytes of configurations were acknowledged", total)
	if !c.awaitReady(10 * time.Second) {
		return 0, errors.New("an entry is not ready")
	}
	if trouble {
		for _, v := range c.replicas() {
			c.record.printf("kill %s", v.name)
			v.kill()
		}
		time.Sleep(restartDelay)
	}
	// A process that ends is started again after a short delay.
	for _, v := range c.replicas() {
		go func() {
			for {
				if !v.running() {
					time.Sleep(restartDelay)
					if c.writeSettings(v, false) != nil || c.start(v) != nil {
						return
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(recoverTime)
	got := c.version(recoverTime)
	c.record.printf("read back: version %d, expected %d", got, changes)
	if got == changes {
		return exitHeld, nil
	}
	for _, v := range c.replicas() {
		c.record.printf("the last line of %s: %s", v.name, v.lastLine())
	}
	return exitBroken, nil
}
