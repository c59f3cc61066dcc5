package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

// sourceHelp describes SOURCE in the help texts of the config commands.
const sourceHelp = `SOURCE is a printed document (FILE, or - for standard input), a directory with
one file KEY.toml per value, or the platform's http URL.`

// valueSuffix is the extension of files that contain a value.
const valueSuffix = ".toml"

// stdinName is the source name of standard input.
const stdinName = "-"

// sources reads deployments from documents, directories and the platform.
type sources struct {
	console
	http *http.Client
}

// read reads and checks the deployment. Errors name the source.
func (s sources) read(ctx context.Context, name string) (config.Deployment, error) {
	d, err := s.readSource(ctx, name)
	return d, withSource(name, err)
}

func (s sources) readSource(ctx context.Context, name string) (config.Deployment, error) {
	if strings.HasPrefix(name, "http://") {
		values, err := newPlatform(name, s.http).values(ctx, s.err)
		if err != nil {
			return config.Deployment{}, err
		}
		return config.Assemble(values)
	}
	if name == stdinName {
		data, err := io.ReadAll(s.in)
		if err != nil {
			return config.Deployment{}, errors.Wrap(err, "read standard input")
		}
		return config.Parse(data)
	}
	st, err := os.Stat(name)
	if err != nil {
		return config.Deployment{}, err
	}
	if st.IsDir() {
		return readDir(name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return config.Deployment{}, err
	}
	return config.Parse(data)
}

func readDir(dir string) (config.Deployment, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+valueSuffix))
	if err != nil {
		return config.Deployment{}, err
	}
	var values []config.Value
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return config.Deployment{}, err
		}
		key := strings.TrimSuffix(filepath.Base(file), valueSuffix)
		values = append(values, config.NewValue(key, data))
	}
	return config.Assemble(values)
}

// sourceError is the error of one source. It lists each problem on a line of its own.
type sourceError struct {
	name string
	err  error
}

func (e *sourceError) Error() string {
	var ps config.Problems
	if !errors.As(e.err, &ps) {
		return e.name + ": " + e.err.Error()
	}
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = e.name + ": " + p.Error()
	}
	return strings.Join(lines, "\n")
}

func (e *sourceError) Unwrap() error { return e.err }

func withSource(name string, err error) error {
	if err == nil {
		return nil
	}
	return &sourceError{name: name, err: err}
}

// writeValues writes the deployment's values to files, the index last.
func writeValues(dir string, d config.Deployment) error {
	values, err := config.Split(d)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, v := range values {
		name := filepath.Join(dir, v.Key()+valueSuffix)
		if err := os.WriteFile(name, v.Data(), 0o644); err != nil {
			return err
		}
	}
	return nil
}
