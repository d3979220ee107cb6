package settings

import (
	"fmt"
	"os"

	"waxwingcart/internal/core/fleet"
)

// LoadFleet reads and validates a fleet configuration. If the content has errors,
// the error is of type Problems.
func LoadFleet(path string) (*fleet.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read fleet configuration: %w", err)
	}
	return ParseFleet(path, data)
}

// ParseFleet decodes and validates a fleet configuration; name stands for the file
// in errors. If the data has errors, the error is of type Problems.
func ParseFleet(name string, data []byte) (*fleet.Config, error) {
	d := parse(name, data)
	config := &fleet.Config{Defaults: fleet.DefaultPolicy()}
	d.decode(config)
	if d.root.Value != nil {
		for _, problem := range config.Validate() {
			d.reportPath(problem.Path, problem.Message)
		}
	}
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	return config, nil
}
